/* The parts of the bench; each prints lines "name value unit".  */
#ifndef BENCHMARKS_H
#define BENCHMARKS_H

void idle_control_run (void);   /* idle traffic and cost of a node */
void requests_run (void);       /* requests, tokens, cells */
void config_object_run (void);  /* the configuration object and its spread */
void faults_run (void);         /* recovery and cold starts */
void keyed_requests_run (void); /* keyed requests */
void processes_run (void);      /* real processes on loopback */

#endif
