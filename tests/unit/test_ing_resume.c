/* A stream whose engine fails is continued at another one, or ends with an
   error: what the client has must not come again, nothing may be left out, and
   a stream that is not whole must not look complete.  */
#include "unit/scripted_engines.h"

#define TICKS_PER_REPORT 60 /* of tokens to owners, at least */

/* Each place before the end at which an engine may end a stream that can be
   continued. The position is that of the last whole event.  */
static void
test_interrupted (void)
{
  static const struct
  {
    const char *sent;     /* by the first engine */
    const char *relayed;  /* of it */
    const char *position; /* that the second engine gets */
    enum scripted_ending ending;
  } cases[] = {
    { "", "", TEXT_REQUEST, END_CUT },
    { "", "", TEXT_REQUEST, END_WHOLE },
    { "", "", TEXT_REQUEST, END_CLOSE },
    { "", "", TEXT_REQUEST, END_OPEN },
    { "data: {\"cho", "", TEXT_REQUEST, END_CUT },
    { TEXT ("a") "data: {\"cho", TEXT ("a"), POSITION ("1", "a"), END_CUT },
    { TEXT ("a") TEXT ("b"), TEXT ("a") TEXT ("b"), POSITION ("2", "ab"),
      END_CUT },
    { TEXT ("a"), TEXT ("a"), POSITION ("1", "a"), END_CLOSE },
    { TEXT ("a"), TEXT ("a"), POSITION ("1", "a"), END_WHOLE },
    { TEXT ("a"), TEXT ("a"), POSITION ("1", "a"), END_OPEN },
    { TEXT ("a") ": wait\n\n", TEXT ("a") ": wait\n\n", POSITION ("1", "a"),
      END_CUT },
    { TEXT ("a") TEXT (""), TEXT ("a") TEXT (""), POSITION ("1", "a"),
      END_CUT },
    { TEXT ("\\\"\\n\\u0001\\ud83d\\ude00"),
      TEXT ("\\\"\\n\\u0001\\ud83d\\ude00"),
      POSITION ("1", "\\\"\\n\\u0001\xf0\x9f\x98\x80"), END_CUT },
    { "data: {\"choices\":[{\"index\":0,\"text\":\"a\"}]}\r\n\r\n",
      "data: {\"choices\":[{\"index\":0,\"text\":\"a\"}]}\r\n\r\n",
      POSITION ("1", "a"), END_CUT },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct scripted_step steps[] = { { cases[i].sent, cases[i].ending },
                                             { TEXT ("z") DONE, END_WHOLE } };
      struct scripted f;
      char *expected = g_strconcat (cases[i].relayed, TEXT ("z") DONE, NULL);
      scripted_start (&f, steps, G_N_ELEMENTS (steps));
      scripted_request (&f, TEXT_PATH, TEXT_REQUEST);
      scripted_check_whole (&f, expected, 2);
      CU_ASSERT_TRUE (
          g_str_has_prefix (scripted_request_body (&f, 1), cases[i].position));
      scripted_stop (&f);
      g_free (expected);
    }
}

/* The engine that shall continue the stream rejects the position. The client
   got an end without an error, as if the stream were whole.  */
static void
test_position_rejected (void)
{
  struct scripted f;
  RUN (&f, TEXT_PATH, TEXT_REQUEST, { TEXT ("a"), END_CUT },
       { "{\"error\":{}}", END_WHOLE, "400 Bad Request", "application/json" },
       { TEXT ("z") DONE, END_WHOLE });
  scripted_check_whole (&f, TEXT ("a") TEXT ("z") DONE, 3);
  scripted_stop (&f);
  RUN (&f, TEXT_PATH, TEXT_REQUEST, { TEXT ("a"), END_CUT },
       { "", END_WHOLE, "400 Bad Request" }, { "", END_WHOLE, "404 No" });
  scripted_check_error (&f, TEXT ("a"), 3);
  scripted_stop (&f);
}

/* An engine that does not know the position begins anew, and one that takes
   another position repeats or leaves out text. Only one that names the position
   continues the stream.  */
static void
test_position_ignored (void)
{
  static const char *const fields[]
      = { "X-Other: 1\r\n", "Jacinthward-Resumed: 0\r\n",
          "Jacinthward-Resumed: 2\r\n", "Jacinthward-Resumed: 1x\r\n",
          "Jacinthward-Resumed:\r\n" };
  for (guint i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      const struct scripted_step steps[]
          = { { TEXT ("a"), END_CUT },
              { TEXT ("a") TEXT ("b") DONE, END_WHOLE, NULL, NULL, fields[i] },
              { TEXT ("b") DONE, END_WHOLE } };
      struct scripted f;
      scripted_start (&f, steps, G_N_ELEMENTS (steps));
      scripted_request (&f, TEXT_PATH, TEXT_REQUEST);
      scripted_check_whole (&f, TEXT ("a") TEXT ("b") DONE, 3);
      scripted_stop (&f);
    }
}

/* A response that is no stream of events was split at its empty lines and
   relayed as events.  */
static void
test_other_type (void)
{
  struct scripted f;
  RUN (
      &f, TEXT_PATH, TEXT_REQUEST, { TEXT ("a"), END_CUT },
      { "<p>\n\n<p>", END_WHOLE, NULL, "text/html" },
      { TEXT ("z") DONE, END_WHOLE, NULL, "text/event-stream; charset=utf-8" });
  scripted_check_whole (&f, TEXT ("a") TEXT ("z") DONE, 3);
  scripted_stop (&f);
  RUN (&f, TEXT_PATH, TEXT_REQUEST,
       { "{}\n\n", END_WHOLE, NULL, "application/json" },
       { TEXT ("z") DONE, END_WHOLE });
  scripted_check_whole (&f, TEXT ("z") DONE, 2);
  scripted_stop (&f);
}

/* After [DONE] the stream is whole, however its engine ends. Another engine
   was asked to continue it, and its events followed.  */
static void
test_after_done (void)
{
  static const enum scripted_ending endings[]
      = { END_WHOLE, END_CUT, END_OPEN, END_CLOSE, END_NEVER };
  for (guint i = 0; i < G_N_ELEMENTS (endings); i++)
    {
      const struct scripted_step steps[]
          = { { TEXT ("a") DONE, endings[i] }, { TEXT ("z") DONE, END_WHOLE } };
      struct scripted f;
      scripted_start (&f, steps, G_N_ELEMENTS (steps));
      scripted_request (&f, TEXT_PATH, TEXT_REQUEST);
      scripted_check_whole (&f, TEXT ("a") DONE, 1);
      scripted_stop (&f);
    }
}

/* Once the engine has given a reason for the end of the text, no other one
   may add to it.  */
static void
test_after_finish (void)
{
  struct scripted f;
  RUN (&f, TEXT_PATH, TEXT_REQUEST, { TEXT ("a") STOP, END_CUT },
       { TEXT ("z") DONE, END_WHOLE });
  scripted_check_error (&f, TEXT ("a") STOP, 1);
  scripted_stop (&f);
}

/* The position holds the text of one choice only. A stream with anything else
   must not be continued by it.  */
static void
test_not_only_text (void)
{
  static const struct
  {
    const char *path;
    const char *body;
    const char *sent;
  } cases[] = {
    /* several choices */
    { TEXT_PATH, TEXT_REQUEST,
      TEXT ("a") "data: {\"choices\":[{\"index\":1,\"text\":\"b\"}]}\n\n" },
    { TEXT_PATH, TEXT_REQUEST,
      "data: {\"choices\":[{\"index\":0,\"text\":\"a\"},"
      "{\"index\":1,\"text\":\"b\"}]}\n\n" },
    /* tool calls and the like */
    { CHAT_PATH, CHAT_REQUEST,
      DELTA ("\"tool_calls\":[{\"index\":0,\"function\":{\"arguments\":"
             "\"{\"}}]") },
    { CHAT_PATH, CHAT_REQUEST,
      DELTA ("\"content\":\"a\"") DELTA ("\"refusal\":\"no\"") },
    /* text that the position cannot hold */
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") TEXT ("b\\u0000c") },
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") TEXT ("\\u0000") },
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") TEXT ("\\ud83d") },
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") TEXT ("\\ude00") },
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") TEXT ("b\xff") },
    /* other contents */
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") "data: {\"text\":\n\n" },
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") "data: 7\n\n" },
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") EVENT ("\"text\":7") },
    { TEXT_PATH, TEXT_REQUEST,
      TEXT ("a") "data: {\"error\":{\"message\":\"x\"}}\n\n" },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct scripted_step steps[]
          = { { cases[i].sent, END_CUT }, { TEXT ("z") DONE, END_WHOLE } };
      struct scripted f;
      scripted_start (&f, steps, G_N_ELEMENTS (steps));
      scripted_request (&f, cases[i].path, cases[i].body);
      scripted_check_error (&f, cases[i].sent, 1);
      scripted_stop (&f);
    }
}

/* The request asks for several choices, of which the first has come so far, or
   for the prompt before the text.  */
static void
test_other_text_asked (void)
{
  static const char *const asked[]
      = { "{\"n\":2,\"model\":\"m\",\"stream\":true,\"prompt\":\"x\"}",
          "{\"echo\":true,\"model\":\"m\",\"stream\":true,\"prompt\":\"x\"}" };
  for (guint i = 0; i < G_N_ELEMENTS (asked); i++)
    {
      struct scripted f;
      RUN (&f, TEXT_PATH, asked[i], { TEXT ("a"), END_CUT },
           { TEXT ("z") DONE, END_WHOLE });
      scripted_check_error (&f, TEXT ("a"), 1);
      scripted_stop (&f);
    }
}

/* An event's data may stand in several lines. Only the first was read.  */
static void
test_data_lines (void)
{
  struct scripted f;
  RUN (&f, TEXT_PATH, TEXT_REQUEST,
       { "data: {\"choices\":[{\"index\":0,\n: x\ndata: \"text\":\"a\"}]}\n\n",
         END_CUT },
       { TEXT ("z") DONE, END_WHOLE });
  CU_ASSERT_EQUAL (f.bodies->len, 2);
  CU_ASSERT_TRUE (
      g_str_has_prefix (scripted_request_body (&f, 1), POSITION ("1", "a")));
  scripted_stop (&f);
}

/* A stream may begin with a byte order mark. It hid the first event, so that
   its text came again.  */
static void
test_byte_order_mark (void)
{
#define MARK "\xef\xbb\xbf"
  struct scripted f;
  RUN (&f, TEXT_PATH, TEXT_REQUEST, { MARK TEXT ("a"), END_CUT },
       { MARK TEXT ("z") DONE, END_WHOLE });
  scripted_check_whole (&f, TEXT ("a") TEXT ("z") DONE, 2);
  CU_ASSERT_TRUE (
      g_str_has_prefix (scripted_request_body (&f, 1), POSITION ("1", "a")));
  scripted_stop (&f);
}

/* Each engine begins with the role, of which the client needs one.  */
static void
test_role (void)
{
#define ROLE DELTA ("\"role\":\"assistant\",\"content\":\"\"")
  struct scripted f;
  RUN (&f, CHAT_PATH, CHAT_REQUEST, { ROLE, END_CUT },
       { ROLE DELTA ("\"content\":\"z\"") DONE, END_WHOLE });
  scripted_check_whole (&f, ROLE DELTA ("\"content\":\"z\"") DONE, 2);
  scripted_stop (&f);
  RUN (&f, CHAT_PATH, CHAT_REQUEST,
       { ROLE DELTA ("\"content\":\"a\""), END_CUT },
       { ROLE DELTA ("\"content\":\"z\"") DONE, END_WHOLE });
  scripted_check_whole (
      &f, ROLE DELTA ("\"content\":\"a\"") DELTA ("\"content\":\"z\"") DONE, 2);
  CU_ASSERT_TRUE (
      g_str_has_prefix (scripted_request_body (&f, 1), POSITION ("1", "a")));
  scripted_stop (&f);
}

/* The position is the product's own. A client that names one would have two of
   them in the body.  */
static void
test_position_of_client (void)
{
  struct scripted f;
  RUN (&f, TEXT_PATH,
       POSITION ("1", "a") "\"model\":\"m\",\"stream\":true,\"prompt\":\"x\"}",
       { TEXT ("b"), END_CUT }, { TEXT ("z") DONE, END_WHOLE });
  CU_ASSERT_EQUAL (f.bodies->len, 0);
  CU_ASSERT_TRUE (g_str_has_prefix (f.received->str, "HTTP/1.1 400"));
  CU_ASSERT_PTR_NOT_NULL (strstr (f.received->str, "bad_request"));
  scripted_stop (&f);
}

/* Text up to the limit is continued whole, a longer one not at all.  */
static void
test_longest_text (void)
{
  for (guint extra = 0; extra < 2; extra++)
    {
      struct scripted f;
      char *text = g_strnfill (64 * 1024 - 1 + extra, 'x');
      char *first = g_strconcat ("data: {\"choices\":[{\"index\":0,\"text\":\"",
                                 text, "\"}]}\n\n", TEXT ("y"), NULL);
      char *position
          = g_strconcat ("{\"jacinthward_resume\":{\"tokens\":2,\"text\":\"",
                         text, "y\"},", NULL);
      char *whole = g_strconcat (first, TEXT ("z") DONE, NULL);
      const struct scripted_step steps[]
          = { { first, END_CUT }, { TEXT ("z") DONE, END_WHOLE } };
      scripted_start (&f, steps, G_N_ELEMENTS (steps));
      scripted_request (&f, TEXT_PATH, TEXT_REQUEST);
      if (extra > 0)
        scripted_check_error (&f, first, 1);
      else
        {
          scripted_check_whole (&f, whole, 2);
          CU_ASSERT_TRUE (
              g_str_has_prefix (scripted_request_body (&f, 1), position));
        }
      scripted_stop (&f);
      g_free (whole);
      g_free (position);
      g_free (first);
      g_free (text);
    }
}

/* Lines that end with CR alone, of which no event is complete.  */
static void
test_cr_lines (void)
{
  struct scripted f;
  RUN (&f, TEXT_PATH, TEXT_REQUEST,
       { TEXT ("a") "data: {\"choices\":[]}\r\rdata: [DONE]\r\r", END_CLOSE },
       { TEXT ("z") DONE, END_WHOLE });
  scripted_check_whole (&f, TEXT ("a") TEXT ("z") DONE, 2);
  scripted_stop (&f);
}

/* A response that is not a stream, and is cut off at a place where its framing
   does not show it: between two chunks, or without a length. The client got it
   as a complete one.  */
static void
test_cut_object (void)
{
  static const struct
  {
    const char *body;
    enum scripted_ending ending;
  } cases[] = { { "{\"choices\":[{\"te", END_CUT },
                { "{\"choices\":[{\"te", END_CLOSE },
                { "", END_WHOLE } };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct scripted_step steps[]
          = { { cases[i].body, cases[i].ending, NULL, "application/json" },
              { "{\"choices\":[]}", END_WHOLE, NULL, "application/json" } };
      struct scripted f;
      scripted_start (&f, steps, G_N_ELEMENTS (steps));
      scripted_request (&f, TEXT_PATH, "{\"model\":\"m\",\"prompt\":\"x\"}");
      CU_ASSERT_EQUAL (f.bodies->len, 2);
      CU_ASSERT_STRING_EQUAL (f.body->str, "{\"choices\":[]}");
      scripted_stop (&f);
    }
}

/* A shard owner takes the server away while the stream is one that cannot be
   continued: it goes on.  */
static void
preempt (struct scripted *f)
{
  struct msg msg = { .kind = MSG_PREEMPT };
  struct core_event event = { .kind = CORE_MESSAGE };
  msg.preempt.queue_entry = 1;
  event.message.from = "a";
  event.message.msg = &msg;
  core_handle (f->core, &event);
}

static void
test_preempted (void)
{
  static const struct
  {
    const char *path;
    const char *body;
    const char *sent;
    const char *position; /* NULL: not preempted */
  } cases[] = {
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a"), POSITION ("1", "a") },
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") STOP, NULL },
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") DONE, NULL },
    { CHAT_PATH, CHAT_REQUEST,
      DELTA ("\"tool_calls\":[{\"index\":0,\"id\":\"a\"}]"), NULL },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct scripted_step steps[]
          = { { cases[i].sent, END_OPEN }, { TEXT ("z") DONE, END_WHOLE } };
      struct scripted f;
      scripted_start (&f, steps, G_N_ELEMENTS (steps));
      scripted_send_request (&f, cases[i].path, cases[i].body);
      while (strstr (f.received->str, "choices") == NULL)
        scripted_iterate (&f);
      preempt (&f);
      scripted_finish_request (&f);
      CU_ASSERT_EQUAL (f.bodies->len, cases[i].position ? 2 : 1);
      if (cases[i].position != NULL)
        CU_ASSERT_TRUE (g_str_has_prefix (scripted_request_body (&f, 1),
                                          cases[i].position));
      /* The owner is told of the new or the changed entry. */
      CU_ASSERT_EQUAL (f.counter_set.v[COUNTER_ENQUEUED], 2);
      CU_ASSERT_EQUAL (f.counter_set.v[COUNTER_CANCELS],
                       cases[i].position ? 1 : 0);
      scripted_stop (&f);
    }
}

/* Comments without end keep a stream open, for an engine may send them while it
   works on a long prompt, but not longer than the deadline of its class.  */
static void
test_endless_comments (void)
{
  static const struct scripted_step steps[] = { { TEXT ("a"), END_NEVER } };
  struct scripted f;
  scripted_start (&f, steps, G_N_ELEMENTS (steps));
  f.class = "short";
  scripted_request (&f, TEXT_PATH, TEXT_REQUEST);
  const char *error = strstr (f.body->str, "data: {\"error\":");
  CU_ASSERT_TRUE (g_str_has_prefix (f.body->str, TEXT ("a") ": x\n\n"));
  CU_ASSERT_PTR_NOT_NULL (error);
  CU_ASSERT_PTR_NULL (strstr (f.body->str, "[DONE]"));
  scripted_stop (&f);
}

/* An instance that becomes the owner of the shard while the stream runs learns
   each token once, from the entry or from a report.  */
static void
check_new_owner (const char *sent)
{
  struct scripted f;
  const struct scripted_step steps[] = { { sent, END_OPEN } };
  scripted_start (&f, steps, G_N_ELEMENTS (steps));
  scripted_send_request (&f, TEXT_PATH, TEXT_REQUEST);
  while (strstr (f.received->str, "\"b\"") == NULL)
    scripted_iterate (&f);
  for (char id[] = "b"; id[0] <= 'z' && f.entries == 0; id[0]++)
    {
      struct msg msg = { .kind = MSG_HEARTBEAT };
      struct core_event event = { .kind = CORE_MESSAGE };
      msg.heartbeat.incarnation = 1;
      msg.heartbeat.sequence = 1;
      msg.heartbeat.config_version = 1;
      str_id_set (&msg.heartbeat.domain, STR_LIT ("d"));
      str_id_set (&msg.heartbeat.region, STR_LIT ("r"));
      g_strlcpy (msg.heartbeat.address, "127.0.0.1:2",
                 sizeof msg.heartbeat.address);
      event.message.from = id;
      event.message.msg = &msg;
      core_handle (f.core, &event);
      scripted_tick (&f);
    }
  CU_ASSERT_EQUAL (f.entries, 1);
  for (guint i = 0; i < TICKS_PER_REPORT; i++)
    scripted_tick (&f);
  CU_ASSERT_EQUAL (f.told_tokens, 2);
  scripted_stop (&f);
}

static void
test_new_owner (void)
{
  check_new_owner (TEXT ("a") TEXT ("b"));
}

/* Texts of other choices than the first did not count as tokens, so that their
   engine seemed to stand still and was ejected.  */
static void
test_tokens_of_choices (void)
{
  check_new_owner ("data: {\"choices\":[{\"index\":1,\"text\":\"a\"}]}\n\n"
                   "data: {\"choices\":[{\"index\":0,\"text\":\"b\"},"
                   "{\"index\":1,\"text\":\"c\"}]}\n\n");
}

static CU_TestInfo tests[] = {
  { "interrupted", test_interrupted },
  { "the position is rejected", test_position_rejected },
  { "the position is ignored", test_position_ignored },
  { "a response of another type", test_other_type },
  { "after [DONE]", test_after_done },
  { "after the reason of the end", test_after_finish },
  { "not only text", test_not_only_text },
  { "other text is asked for", test_other_text_asked },
  { "data in several lines", test_data_lines },
  { "a byte order mark", test_byte_order_mark },
  { "the role", test_role },
  { "a position of the client", test_position_of_client },
  { "the longest text", test_longest_text },
  { "lines that end with CR", test_cr_lines },
  { "a cut object", test_cut_object },
  { "preempted", test_preempted },
  { "comments without end", test_endless_comments },
  { "a new owner", test_new_owner },
  { "tokens of several choices", test_tokens_of_choices },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "ingress resume", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
