#include "core/traffic.h"

#include "proto/peer.pb-c.h"

SsTrafficKind
ss_traffic_kind (int body_case)
{
  switch (body_case)
    {
#define SS_TRAFFIC_CASE(id, name)                                              \
  case SS__PEER__ENVELOPE__BODY_##id:                                          \
    return SS_TRAFFIC_##id;
      SS_TRAFFIC_KINDS (SS_TRAFFIC_CASE)
#undef SS_TRAFFIC_CASE
    default:
      return SS_TRAFFIC_OTHER;
    }
}

const char *
ss_traffic_kind_name (SsTrafficKind kind)
{
  static const char *const names[] = {
#define SS_TRAFFIC_NAME(id, name) name,
    SS_TRAFFIC_KINDS (SS_TRAFFIC_NAME)
#undef SS_TRAFFIC_NAME
        "other"
  };

  return names[kind];
}

const char *
ss_traffic_link_name (SsTrafficLink link)
{
  return link == SS_TRAFFIC_SAME_DOMAIN ? "same_domain" : "other_domain";
}
