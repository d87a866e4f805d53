/* tcp_conn_read_arrived: all that has arrived is read, and the end after it. A
   peer that sends as fast as it is read is not followed without end, as no
   other connection and no timer is served meanwhile.  */
#include "unit/unit.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/tcp_conn.h"

#define READ_MAX (4 * 1024 * 1024) /* bytes of one call */

static struct
{
  struct tcp_conn *tcp_conn;
  int fd; /* the peer's end */
  gsize received;
  gboolean ended;
  gboolean peer_is_fast; /* sends as much as was read */
} test;

static void
send_bytes (gsize n)
{
  char *bytes = g_strnfill (n, 'x');
  CU_ASSERT_EQUAL (send (test.fd, bytes, n, MSG_DONTWAIT | MSG_NOSIGNAL), n);
  g_free (bytes);
}

static void
on_data (void *ctx, struct str data)
{
  (void)ctx;
  test.received += data.n;
  if (test.peer_is_fast)
    send_bytes (TCP_CONN_READ_MAX);
}

static void
on_ended (void *ctx)
{
  (void)ctx;
  test.ended = TRUE;
}

static const struct tcp_conn_handler handler
    = { .data = on_data, .ended = on_ended };

static void
start (void)
{
  const struct tcp_conn_options options = { .handler = &handler };
  int fds[2];
  memset (&test, 0, sizeof test);
  CU_ASSERT_EQUAL_FATAL (
      socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fds),
      0);
  test.fd = fds[1];
  test.tcp_conn = tcp_conn_adopt (fds[0], &options);
}

static void
stop (void)
{
  tcp_conn_close (test.tcp_conn);
  close (test.fd);
}

static void
test_fast_peer (void)
{
  start ();
  test.peer_is_fast = TRUE;
  send_bytes (1);
  tcp_conn_read_arrived (test.tcp_conn);
  CU_ASSERT_TRUE (test.received > 0);
  CU_ASSERT_TRUE (test.received <= READ_MAX);
  stop ();
}

/* Checks that N bytes and the end after them are read.  */
static void
check_all_read (gsize n)
{
  start ();
  send_bytes (n);
  shutdown (test.fd, SHUT_WR);
  tcp_conn_read_arrived (test.tcp_conn);
  CU_ASSERT_EQUAL (test.received, n);
  CU_ASSERT_TRUE (test.ended);
  stop ();
}

static void
test_all_read (void)
{
  check_all_read (1);
  check_all_read (TCP_CONN_READ_MAX - 1);
  check_all_read (TCP_CONN_READ_MAX);
  check_all_read (TCP_CONN_READ_MAX + 1);
  check_all_read (2 * TCP_CONN_READ_MAX);
}

static void
test_nothing (void)
{
  start ();
  tcp_conn_read_arrived (test.tcp_conn);
  CU_ASSERT_EQUAL (test.received, 0);
  CU_ASSERT_FALSE (test.ended);
  shutdown (test.fd, SHUT_WR);
  tcp_conn_read_arrived (test.tcp_conn);
  CU_ASSERT_TRUE (test.ended);
  stop ();
}

static CU_TestInfo tests[] = {
  { "a fast peer", test_fast_peer },
  { "all that has arrived", test_all_read },
  { "nothing, then the end", test_nothing },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "tcp_conn, what has arrived", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
