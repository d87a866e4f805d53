/* The benchmarks of bench_capacity. Each prints lines "name value unit".  */
#ifndef BENCHMARKS_H
#define BENCHMARKS_H

void idle_control_run (void);   /* a node without client requests */
void requests_run (void);       /* requests, tokens, shards */
void config_object_run (void);  /* size and distribution */
void faults_run (void);         /* recovery and cold start */
void keyed_requests_run (void); /* load on the platform */
void processes_run (void);      /* real processes on loopback */

#endif
