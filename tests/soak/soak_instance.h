/* The real instances of the soak. They are signalled, and started again when
   they have ended, as the platform does it.  */
#ifndef SOAK_INSTANCE_H
#define SOAK_INSTANCE_H

#include "harness/harness.h"
#include "soak/fault_proxy.h"
#include "soak/soak_traffic.h"

/* Setting key_limit_ms: a key must not be accepted this long after it was
   revoked.  */
#define SOAK_KEY_LIMIT_MS 2500

/* Instances use the same ports on addresses of their own.  */
struct soak_instance_options
{
  struct harness *harness;
  struct soak_traffic *traffic;
  GRand *rand;
  guint number;
  guint store_port;
  guint client_port;
  guint ready_port;
  guint peer_port;
};

struct soak_instance;

/* Starts an instance. The result is freed by soak_instance_free, which leaves
   its process to the harness.  */
struct soak_instance *
soak_instance_new (const struct soak_instance_options *options);
void soak_instance_free (struct soak_instance *instance);
/* Sends a signal to the process, if it has not ended.  */
void soak_instance_signal (struct soak_instance *instance, int signal);
/* Kills the process if it does not stop within its grace time. Starts it again
   some time after it has ended, and then returns TRUE. To be called often.  */
gboolean soak_instance_supervise (struct soak_instance *instance);
/* Returns whether the process runs and is not stopping.  */
gboolean soak_instance_is_running (const struct soak_instance *instance);
/* Returns the proxy between the instance and the store.  */
struct fault_proxy *
soak_instance_store_proxy (const struct soak_instance *instance);

#endif
