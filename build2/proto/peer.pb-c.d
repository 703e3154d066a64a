build2/proto/peer.pb-c.o: proto/peer.pb-c.c proto/peer.pb-c.h
