/* Control traffic and cost of a node without client requests.  */
#include "capacity/benchmarks.h"
#include "capacity/fit.h"
#include "capacity/testbed.h"

#include <string.h>

#define SETTLE_US (20 * CLK_S) /* before the measurement */
#define MEASURE_S 10

/* Per second: the mean of the nodes, and ("worst") the highest of one node. The
   names of the fields are printed. */
struct control
{
  double out, in, out_worst, in_worst; /* bytes with packet headers */
  double payload, payload_worst;       /* bytes sent without packet headers */
  double messages, messages_worst;     /* sent and received */
  double cpu, cpu_worst;               /* microseconds */
  double links, links_worst;           /* connections */
};

static void
add_value (double *mean, double *highest, double value, guint n)
{
  *mean += value / n;
  *highest = MAX (*highest, value);
}

/* Returns the control traffic in the last S seconds.  */
static struct control
summarize (const struct testbed *testbed, double s)
{
  struct control c = { 0 };
  for (guint i = 0; i < testbed->n; i++)
    {
      const struct testbed_node *node = &testbed->nodes[i];
      guint links = 0;
      for (guint k = 0; k < testbed->n; k++)
        links += testbed->connected[i][k];
      add_value (&c.out, &c.out_worst, testbed_wire_bytes (&node->sent) / s,
                 testbed->n);
      add_value (&c.in, &c.in_worst, testbed_wire_bytes (&node->received) / s,
                 testbed->n);
      add_value (&c.payload, &c.payload_worst, (double)node->sent.bytes / s,
                 testbed->n);
      add_value (&c.messages, &c.messages_worst,
                 (double)(node->sent.messages + node->received.messages) / s,
                 testbed->n);
      add_value (&c.cpu, &c.cpu_worst, (double)node->cpu_ns / 1e3 / s,
                 testbed->n);
      add_value (&c.links, &c.links_worst, links, testbed->n);
    }
  return c;
}

/* Prints messages and bytes by kind of message, per second and node.  */
static void
print_kinds (const struct testbed *testbed, const char *name)
{
  for (int kind = 0; kind < MSG_N; kind++)
    {
      guint64 messages = 0, bytes = 0;
      for (guint i = 0; i < testbed->n; i++)
        {
          messages += testbed->nodes[i].messages_by_kind[kind];
          bytes += testbed->nodes[i].bytes_by_kind[kind];
        }
      if (messages == 0)
        continue;
      g_print ("%s_%s_sent %.4g 1/s\n", name, msg_kind_name (kind),
               (double)messages / MEASURE_S / testbed->n);
      g_print ("%s_%s_bytes %.4g bytes/s\n", name, msg_kind_name (kind),
               (double)bytes / MEASURE_S / testbed->n);
    }
}

static void
print_control (const struct control *c, const char *name, guint size)
{
  char *base = g_strdup_printf ("%s_%u", name, size);
#define LINE(member, unit)                                                     \
  g_print ("%s_" #member " %.5g " unit "\n", base, c->member)
  LINE (out, "bytes/s");
  LINE (out_worst, "bytes/s");
  LINE (in, "bytes/s");
  LINE (in_worst, "bytes/s");
  LINE (payload, "bytes/s");
  LINE (payload_worst, "bytes/s");
  LINE (messages, "1/s");
  LINE (messages_worst, "1/s");
  LINE (cpu, "us/s");
  LINE (cpu_worst, "us/s");
  LINE (links, "connections");
  LINE (links_worst, "connections");
#undef LINE
  g_free (base);
}

/* Prints and returns the control traffic of an idle testbed.  */
static struct control
measure (guint domains, guint per_domain, const char *name, guint size)
{
  const struct testbed_options options = {
    .config
    = { domains, TARGET_BACKENDS * domains / TARGET_DOMAINS, TARGET_TEAMS },
    .per_domain = per_domain,
  };
  struct testbed *testbed = testbed_new (&options);
  testbed_run (testbed, SETTLE_US);
  testbed_reset_counts (testbed);
  testbed_run (testbed, MEASURE_S * CLK_S);
  struct control c = summarize (testbed, MEASURE_S);
  print_control (&c, name, size);
  if (per_domain * domains >= TARGET_NODES)
    print_kinds (testbed, name);
  testbed_free (testbed);
  return c;
}

struct fits
{
  struct fit out, out_worst, messages, messages_worst, cpu, links;
};

static void
add_point (struct fits *fits, double x, const struct control *c)
{
  fit_add (&fits->out, x, c->out);
  fit_add (&fits->out_worst, x, c->out_worst);
  fit_add (&fits->messages, x, c->messages);
  fit_add (&fits->messages_worst, x, c->messages_worst);
  fit_add (&fits->cpu, x, c->cpu);
  fit_add (&fits->links, x, c->links_worst);
}

static void
print_fits (const struct fits *fits, const char *name, const char *per,
            double target)
{
  const struct
  {
    const struct fit *fit;
    const char *measure_name;
    const char *unit;
  } list[] = {
    { &fits->out, "out", "bytes/s" },
    { &fits->out_worst, "out_worst", "bytes/s" },
    { &fits->messages, "messages", "1/s" },
    { &fits->messages_worst, "messages_worst", "1/s" },
    { &fits->cpu, "cpu", "us/s" },
    { &fits->links, "links_worst", "connections" },
  };
  for (guint i = 0; i < G_N_ELEMENTS (list); i++)
    {
      char *full = g_strdup_printf ("%s_%s", name, list[i].measure_name);
      fit_print (list[i].fit, full, list[i].unit, per, target);
      g_free (full);
    }
}

void
idle_control_run (void)
{
  static const guint nodes[] = { 5, 10, 20, 36 };
  static const guint domains[] = { 2, 4, 7, TARGET_DOMAINS };
  struct fits by_nodes = { 0 };
  struct fits by_domains = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (nodes); i++)
    {
      struct control c = measure (1, nodes[i], "idle_domain_nodes", nodes[i]);
      add_point (&by_nodes, nodes[i], &c);
    }
  print_fits (&by_nodes, "idle_domain_nodes", "node", TARGET_DOMAIN_NODES);
  for (guint i = 0; i < G_N_ELEMENTS (domains); i++)
    {
      struct control c = measure (domains[i], TARGET_DOMAIN_NODES,
                                  "idle_domains", domains[i]);
      add_point (&by_domains, domains[i], &c);
    }
  print_fits (&by_domains, "idle_domains", "domain", TARGET_DOMAINS);
}
