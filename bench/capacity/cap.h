/* The parts of the bench; each prints lines "name value unit".  */
#ifndef CAP_H
#define CAP_H

void control_run (void); /* idle traffic and cost of a node */
void work_run (void);    /* requests, tokens, cells */
void object_run (void);  /* the configuration object and its spread */
void faults_run (void);  /* recovery and cold starts */
void ledger_run (void);  /* keyed requests */
void procs_run (void);   /* real processes on loopback */

#endif
