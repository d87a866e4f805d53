/* When a connection gives up a peer that acknowledges no output. With a window
   smaller than a segment, the kernel's own time-out counts from the first probe
   even if the peer goes on reading, so that a slow reader was cut.  */
#include "unit/unit.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/tcp_conn.h"
#include "net/tcp_listener.h"

#define SILENCE_MS 2000
#define RECEIVE_BUFFER_BYTES (32 * 1024)
#define OUTPUT_BYTES (7 * 1024 * 1024) /* more than the kernel buffers */
#define BUFFERED_BYTES (512 * 1024)    /* less than the kernel buffers */
#define READ_BYTES (4 * 1024)
#define READ_INTERVAL_MS 100
#define SLOW_READ_MS (4 * SILENCE_MS)
#define DETECTION_MAX_MS (SILENCE_MS * 3 / 2)

static struct
{
  struct tcp_listener *listener;
  struct tcp_conn *tcp_conn; /* the writing end; NULL: none */
  gint64 failed_at;          /* monotonic time; 0: not failed */
  int failure;               /* ERR_ number */
  gint64 stalled_at;         /* monotonic time; 0: not stalled */
  int fd;                    /* the reading end */
} test;

static void
on_failed (void *ctx, const struct err *err)
{
  (void)ctx;
  test.failed_at = g_get_monotonic_time ();
  test.failure = err->code;
}

static void
on_finished (void *ctx, const struct tcp_conn_remainder *remainder)
{
  (void)ctx;
  (void)remainder;
  test.tcp_conn = NULL;
}

static void
on_stalled (void *ctx)
{
  (void)ctx;
  test.stalled_at = g_get_monotonic_time ();
}

static const struct tcp_conn_handler handler
    = { .failed = on_failed, .finished = on_finished, .stalled = on_stalled };

static void
on_accepted (void *ctx, int fd, const char *peer)
{
  const struct tcp_conn_options options
      = { .handler = &handler, .silence_ms = SILENCE_MS };
  (void)ctx;
  (void)peer;
  test.tcp_conn = tcp_conn_adopt (fd, &options);
}

static gboolean
on_end (gpointer data)
{
  *(gboolean *)data = TRUE;
  return G_SOURCE_REMOVE;
}

static void
run_for (guint ms)
{
  gboolean ended = FALSE;
  g_timeout_add (ms, on_end, &ended);
  while (!ended)
    g_main_context_iteration (NULL, TRUE);
}

/* Opens a connection whose reading end has a small buffer.  */
static void
start (void)
{
  struct err err = { 0 };
  const int bytes = RECEIVE_BUFFER_BYTES;
  memset (&test, 0, sizeof test);
  test.listener = tcp_listener_new ("127.0.0.1:0", on_accepted, NULL, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (test.listener);
  struct sockaddr_in to
      = { .sin_family = AF_INET,
          .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
          .sin_port = htons ((guint16)tcp_listener_port (test.listener)) };
  test.fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (test.fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  CU_ASSERT_EQUAL_FATAL (connect (test.fd, (struct sockaddr *)&to, sizeof to),
                         0);
  while (test.tcp_conn == NULL)
    g_main_context_iteration (NULL, TRUE);
}

static void
stop (void)
{
  tcp_conn_close (test.tcp_conn);
  tcp_listener_free (test.listener);
  close (test.fd);
}

static void
write_output (gsize n)
{
  char *output = g_strnfill (n, 'x');
  tcp_conn_write (test.tcp_conn, output, n);
  g_free (output);
}

static gsize
read_some (void)
{
  static char bytes[READ_BYTES];
  gssize n = recv (test.fd, bytes, sizeof bytes, MSG_DONTWAIT);
  return n > 0 ? (gsize)n : 0;
}

/* Reads slowly for MS. Returns the bytes read.  */
static gsize
read_slowly (guint ms)
{
  gsize got = 0;
  for (guint i = 0; i < ms; i += READ_INTERVAL_MS)
    {
      run_for (READ_INTERVAL_MS);
      got += read_some ();
    }
  return got;
}

static void
test_steady_slow_reader (void)
{
  start ();
  write_output (OUTPUT_BYTES);
  CU_ASSERT_TRUE (read_slowly (SLOW_READ_MS) > 10 * READ_BYTES);
  CU_ASSERT_EQUAL (test.failed_at, 0);
  stop ();
}

/* The same after the close, with all output in the kernel's buffer.  */
static void
test_slow_reader_of_buffered_output (void)
{
  start ();
  write_output (BUFFERED_BYTES);
  CU_ASSERT_EQUAL (tcp_conn_queued (test.tcp_conn), 0);
  tcp_conn_finish (test.tcp_conn);
  gsize got = read_slowly (SLOW_READ_MS);
  CU_ASSERT_PTR_NOT_NULL (test.tcp_conn);
  char byte;
  while (recv (test.fd, &byte, 1, MSG_PEEK) > 0)
    got += read_some ();
  CU_ASSERT_EQUAL (got, BUFFERED_BYTES);
  run_for (READ_INTERVAL_MS);
  stop ();
}

/* A peer that takes nothing is given up in time, also if it has read before. */
static void
test_reader_that_stops (void)
{
  start ();
  write_output (OUTPUT_BYTES);
  read_slowly (SILENCE_MS);
  CU_ASSERT_EQUAL (test.failed_at, 0);
  gint64 stopped = g_get_monotonic_time ();
  run_for (2 * SILENCE_MS);
  CU_ASSERT_EQUAL (test.failure, ERR_TIMEOUT);
  CU_ASSERT_TRUE (test.failed_at - stopped < DETECTION_MAX_MS * 1000);
  CU_ASSERT_TRUE (test.stalled_at > stopped);
  CU_ASSERT_TRUE (test.stalled_at < test.failed_at - SILENCE_MS * 500);
  stop ();
}

/* Output that is acknowledged at once leaves no time-out behind.  */
static void
test_idle_connection (void)
{
  start ();
  tcp_conn_write (test.tcp_conn, "x", 1);
  run_for (2 * SILENCE_MS);
  CU_ASSERT_EQUAL (test.failed_at, 0);
  CU_ASSERT_EQUAL (test.stalled_at, 0);
  CU_ASSERT_EQUAL (read_some (), 1);
  stop ();
}

static CU_TestInfo tests[] = {
  { "a steady slow reader", test_steady_slow_reader },
  { "a slow reader of buffered output", test_slow_reader_of_buffered_output },
  { "a reader that stops", test_reader_that_stops },
  { "an idle connection", test_idle_connection },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "tcp_conn", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
