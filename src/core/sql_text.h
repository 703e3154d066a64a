/* sql_text: the statements of a text in SQL.
 *
 * Splits a text as PostgreSQL's lexer does with standard_conforming_strings on,
 * so that what stands in a comment, a quoted text or a quoted name is not taken
 * for a statement, and what follows a comment is.  Nothing here fails: a text
 * that PostgreSQL would refuse is reported as not closed, or has statements of
 * the kind SS_SQL_KIND_OTHER.
 */
#ifndef SS_SQL_TEXT_H
#define SS_SQL_TEXT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The names of the proxy's settings begin with this word and a dot. */
#define SS_SQL_SETTING_WORD "sapphirestair"

typedef enum
{
  SS_SQL_TOKEN_END,
  SS_SQL_TOKEN_WORD,
  SS_SQL_TOKEN_STRING,  /* '...' */
  SS_SQL_TOKEN_ESCAPED, /* E'...' or $tag$...$tag$ */
  SS_SQL_TOKEN_NAME,    /* "..." */
  SS_SQL_TOKEN_CHAR,    /* any other single character, or digits */
  SS_SQL_TOKEN_OPEN     /* a quote or comment that is not closed */
} SsSqlTokenKind;

typedef struct
{
  SsSqlTokenKind kind;
  const char *text; /* in the text that is read, quotes included */
  size_t bytes;
} SsSqlToken;

/* What a statement does to its session. */
typedef enum
{
  SS_SQL_KIND_OTHER,
  SS_SQL_KIND_BEGIN,    /* BEGIN or START */
  SS_SQL_KIND_COMMIT,   /* COMMIT or END, and nothing else */
  SS_SQL_KIND_ROLLBACK, /* ROLLBACK or ABORT, and nothing else */
  SS_SQL_KIND_CONTROL,  /* ends a transaction in another way: AND CHAIN, or
                           PREPARE TRANSACTION and what follows it */
  SS_SQL_KIND_SETTING   /* SET, RESET or SHOW of a setting of the proxy */
} SsSqlTextKind;

typedef struct
{
  uint32_t count;      /* of statements that are not empty */
  SsSqlTextKind first; /* of the first statement */
  bool controls;       /* a statement begins or ends a transaction */
  bool has_setting;    /* a statement has the kind SS_SQL_KIND_SETTING */
  bool is_closed;      /* no quote or comment is left open */
} SsSqlOutline;

/* ss_sql_text_next: returns the next token and moves AT behind it. */
SsSqlToken ss_sql_text_next (const char **at);
/* ss_sql_token_is_word: whether TOKEN is WORD, compared without regard to case.
 */
bool ss_sql_token_is_word (const SsSqlToken *token, const char *word);
bool ss_sql_token_is_char (const SsSqlToken *token, char c);
/* ss_sql_text_first: returns the kind of the first statement that is not
 * empty.
 */
SsSqlTextKind ss_sql_text_first (const char *text);
void ss_sql_text_outline (const char *text, SsSqlOutline *outline);

#endif
