/*
 * The daemon: one event loop on one thread that drives a node.
 */
#ifndef DWS_PROCESS_LOOP_IO_H
#define DWS_PROCESS_LOOP_IO_H

#include "connection/datagram_io.h"
#include "connection/http_client_io.h"
#include "connection/http_server_io.h"
#include "connection/routed_server_io.h"
#include "connection/stream_io.h"
#include "process/limit_report.h"
#include "process/log_io.h"
#include "process/memory.h"
#include "store_io.h"

typedef struct dws_loop {
	dws_io_t io; /* first, so that callbacks can convert it */
	dws_settings_t settings; /* with the assigned ports */
	struct ev_loop *ev;
	dws_node_t *node;
	dws_log_t log;
	dws_memory_t memory; /* what is held for clients and peers */
	dws_limit_report_t limit_report;
	int64_t memory_check_due_us;
	dws_streams_t streams;
	dws_datagrams_t datagrams;
	dws_http_client_t client;
	dws_http_server_t server;
	/* Unused without a routed or a readiness listener. */
	dws_routed_server_t routed_server;
	dws_routed_server_t readiness;
	dws_store_t store; /* unused unless uses_store */
	bool uses_store; /* platform_protocol is "store" */
	dws_counters_t startup_counters; /* until the node is initialized */
	ev_timer tick; /* also run after each batch of events */
	ev_timer log_flush;
	ev_signal terminate;
	ev_signal interrupt;
	int64_t node_time_us; /* latest time passed to the node */
	int64_t next_tick_us;
	int64_t drain_started_us;
	int64_t drain_ended_us; /* 0 until the node is drained */
	bool is_draining;
	char *settings_file;
	ev_signal sighup;
	ev_timer settings_check;
	int64_t settings_modified_ns; /* modification time when last loaded */
} dws_loop_t;

/*
 * Opens all sockets and files and starts the node, in memory of the caller.
 * The settings are copied; their file is reloaded when it changes or on SIGHUP.
 * On failure everything is closed again and an error is set.
 */
bool dws_loop_init(dws_loop_t *loop, const dws_settings_t *settings,
		   const char *settings_file, GError **error);
/* Serves until a drain is complete. */
void dws_loop_run(dws_loop_t *loop);
/* Closes all sockets and files, and frees the node. */
void dws_loop_finish(dws_loop_t *loop);

#endif
