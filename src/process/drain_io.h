/*
 * The end of a daemon: it stops taking requests, answers those it has taken, and
 * ends its loop before the platform would kill the process.
 */
#ifndef DWS_PROCESS_DRAIN_IO_H
#define DWS_PROCESS_DRAIN_IO_H

#include "process/loop_io.h"

/* Starts a drain, unless one is in progress; the cause is logged. */
void dws_drain_start(dws_loop_t *loop, int64_t now_us, const char *cause);
/* Ends the loop once the drain is complete and the last answers are sent. */
void dws_drain_check(dws_loop_t *loop, int64_t now_us);

#endif
