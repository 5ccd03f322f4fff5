/*
 * The event loop of the daemon: passes socket events to the node, and the
 * node's output to sockets.
 *
 * The node must not be called from within its own callbacks, so the transports
 * defer the report of their failures to the loop. After each batch of events
 * the node is ticked, and then the streams are written. Both are low-priority
 * events, which libev invokes after all others and before it blocks again.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <time.h>
#include "http_names.h"
#include "process/drain_io.h"
#include "process/loop_io.h"

/* Upper bound between two ticks. */
#define MAX_TICK_INTERVAL_US DWS_US_PER_S
/* The same during a drain, to detect its end promptly. */
#define MAX_DRAIN_TICK_INTERVAL_US (20 * DWS_US_PER_MS)
/* A wake-up that is late by more than this is a detected pause. */
#define PAUSE_THRESHOLD_US (500 * DWS_US_PER_MS)
/* Delay of writing the log buffer, so that lines are batched. */
#define LOG_FLUSH_DELAY_S 0.05
/* Interval of checks for clients that keep memory while it is scarce. */
#define MEMORY_CHECK_INTERVAL_US (500 * DWS_US_PER_MS)
#define NS_PER_US 1000
#define NS_PER_MS 1000000
#define NS_PER_S INT64_C(1000000000)
#define MS_PER_S 1000
/* Period of checks whether the settings file has changed. */
#define SETTINGS_CHECK_INTERVAL_S 2.0

/*
 * Returns the time of a monotonic clock that includes system suspend, so that
 * a suspend is detected like a pause of the process.
 */
static int64_t monotonic_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return now.tv_sec * DWS_US_PER_S + now.tv_nsec / NS_PER_US;
}

static int64_t wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

/* Logs which limits were reached. */
static void log_limits(dws_loop_t *loop, int64_t now_us)
{
	char *fields = dws_limit_report_next(&loop->limit_report, now_us,
					     dws_node_counters(loop->node));

	if (!fields)
		return;
	dws_log_event(&loop->log, DWS_LOG_WARNING, "limits_reached", fields);
	g_free(fields);
}

/* Ticks the node and schedules the next tick. */
static void tick(dws_loop_t *loop)
{
	int64_t now_us = monotonic_us();
	int64_t max_interval_us = loop->is_draining ? MAX_DRAIN_TICK_INTERVAL_US
						    : MAX_TICK_INTERVAL_US;
	int64_t wake_us = dws_node_tick(loop->node, now_us, wall_ms());

	if (now_us >= loop->memory_check_due_us) {
		loop->memory_check_due_us = now_us + MEMORY_CHECK_INTERVAL_US;
		dws_routed_server_free_memory(&loop->routed_server);
	}
	log_limits(loop, now_us);
	loop->node_time_us = now_us;
	loop->next_tick_us = CLAMP(wake_us, now_us, now_us + max_interval_us);
	ev_now_update(loop->ev);
	ev_timer_stop(loop->ev, &loop->tick);
	ev_timer_set(&loop->tick,
		     (double)(loop->next_tick_us - now_us) /
			     (double)DWS_US_PER_S,
		     0);
	ev_timer_start(loop->ev, &loop->tick);
	if (loop->log.buffer->len)
		ev_timer_start(loop->ev, &loop->log_flush);
}

static void on_tick(struct ev_loop *ev, ev_timer *watcher, int events)
{
	dws_loop_t *loop = watcher->data;

	tick(loop);
	dws_drain_check(loop, loop->node_time_us);
}

static void on_log_flush(struct ev_loop *ev, ev_timer *watcher, int events)
{
	dws_loop_t *loop = watcher->data;

	dws_log_flush(&loop->log);
	if (loop->log.buffer->len)
		ev_timer_start(ev, watcher);
}

/*
 * Returns the time for an event that is passed to the node, and schedules a
 * tick after the batch. After a pause the node is ticked first, so that it
 * detects the pause before it handles the backlog of events.
 */
static int64_t begin_event(dws_loop_t *loop)
{
	int64_t now_us = monotonic_us();

	if (now_us - MAX(loop->node_time_us, loop->next_tick_us) >
	    PAUSE_THRESHOLD_US) {
		tick(loop);
		now_us = monotonic_us();
	}
	loop->node_time_us = now_us;
	ev_feed_event(loop->ev, &loop->tick, EV_TIMER);
	return now_us;
}

static void on_terminate(struct ev_loop *ev, ev_signal *watcher, int events)
{
	dws_loop_t *loop = watcher->data;

	dws_drain_start(loop, begin_event(loop), "signal");
}

/* Logs why a message from a peer was refused; frees the error. */
static void log_refused_message(dws_loop_t *loop, const char *event,
				GError *error)
{
	dws_log_pair(&loop->log, DWS_LOG_WARNING, event, "error",
		     error ? error->message : "malformed");
	g_clear_error(&error);
}

static bool on_frame(void *context, GBytes *frame)
{
	dws_loop_t *loop = context;
	GError *error = NULL;

	if (dws_node_receive_frame(loop->node, begin_event(loop), frame,
				   &error))
		return true;
	log_refused_message(loop, "frame_refused", error);
	return false;
}

static void on_frame_refused(void *context, const uint8_t *start,
			     size_t size_bytes)
{
	dws_loop_t *loop = context;

	dws_node_frame_refused(loop->node, begin_event(loop), start,
			       size_bytes);
}

static void on_stream_lost(void *context, const dws_address_t *peer,
			   bool unsent)
{
	dws_loop_t *loop = context;

	dws_node_stream_lost(loop->node, begin_event(loop), peer, unsent);
}

static bool on_datagram(void *context, const uint8_t *data, size_t size_bytes)
{
	dws_loop_t *loop = context;
	GError *error = NULL;

	if (dws_node_receive_datagram(loop->node, begin_event(loop), data,
				      size_bytes, &error))
		return true;
	log_refused_message(loop, "datagram_refused", error);
	return false;
}

static void on_dispatch_finished(void *context, uint64_t attempt_id,
				 const dws_dispatch_outcome_t *outcome)
{
	dws_loop_t *loop = context;

	dws_node_dispatch_finished(loop->node, begin_event(loop), attempt_id,
				   outcome);
}

static void on_platform_read(void *context, dws_platform_item_t item, bool ok,
			     const char *text, size_t size_bytes)
{
	dws_loop_t *loop = context;

	dws_node_platform_read_finished(loop->node, begin_event(loop), item, ok,
					text, size_bytes);
}

static void on_surplus_closed(void *context, const char *peer)
{
	dws_loop_t *loop = context;
	char *fields = g_strdup_printf("peer=%s", peer);

	dws_counters_add(dws_node_counters(loop->node),
			 DWS_COUNT_SURPLUS_CLOSED, 1);
	dws_log_event(&loop->log, DWS_LOG_WARNING, "surplus_closed", fields);
	g_free(fields);
}

static uint64_t on_call(void *context, const dws_call_t *call)
{
	dws_loop_t *loop = context;

	return dws_node_call(loop->node, begin_event(loop), call);
}

static void on_caller_disconnected(void *context, uint64_t call_id)
{
	dws_loop_t *loop = context;

	dws_node_caller_disconnected(loop->node, begin_event(loop), call_id);
}

static char *on_get_view(void *context, const char *view)
{
	dws_loop_t *loop = context;

	return dws_node_describe(loop->node, begin_event(loop), view);
}

/* Returns counters, gauges and the resource usage of the process. */
static char *on_get_metrics(void *context)
{
	dws_loop_t *loop = context;
	struct rusage usage = {0};
	char *gauges = dws_node_gauges(loop->node, begin_event(loop));
	char *counters = dws_counters_prometheus(dws_node_counters(loop->node));
	char *text;

	getrusage(RUSAGE_SELF, &usage);
	text = g_strdup_printf(
		"%s%s# TYPE process_cpu_seconds_total counter\n"
		"process_cpu_seconds_total %.3f\n"
		"# TYPE process_resident_memory_peak_bytes gauge\n"
		"process_resident_memory_peak_bytes %ld\n"
		"# TYPE dogwoodshift_log_lines_dropped gauge\n"
		"dogwoodshift_log_lines_dropped %" G_GUINT64_FORMAT "\n"
		"# TYPE dogwoodshift_memory_held_bytes gauge\n"
		"dogwoodshift_memory_held_bytes %zu\n"
		"# TYPE dogwoodshift_memory_max_bytes gauge\n"
		"dogwoodshift_memory_max_bytes %zu\n",
		counters, gauges,
		(double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
			(double)(usage.ru_utime.tv_usec +
				 usage.ru_stime.tv_usec) /
				DWS_US_PER_S,
		usage.ru_maxrss * 1024, loop->log.dropped_total,
		loop->memory.used_bytes, loop->memory.max_bytes);
	g_free(counters);
	g_free(gauges);
	return text;
}

static void on_drain(void *context)
{
	dws_loop_t *loop = context;

	dws_drain_start(loop, begin_event(loop), "operator");
}

static bool on_is_ready(void *context)
{
	return dws_node_is_ready(((dws_loop_t *)context)->node);
}

static void on_get_limits(void *context, dws_caller_limits_t *limits)
{
	dws_node_caller_limits(((dws_loop_t *)context)->node, limits);
}

/*
 * Closes a connection that waits for its client: of the listener that has the
 * most, so that a crowd at one of them costs the others nothing.
 */
static bool on_free_descriptor(void *context)
{
	dws_loop_t *loop = context;
	dws_routed_server_t *most = &loop->routed_server;
	dws_routed_server_t *fewest = &loop->readiness;

	if (dws_routed_server_open_count(most) <
	    dws_routed_server_open_count(fewest)) {
		most = &loop->readiness;
		fewest = &loop->routed_server;
	}
	return dws_routed_server_evict(most) || dws_routed_server_evict(fewest);
}

static const dws_routed_server_ops_t routed_server_ops = {
	.call = on_call,
	.caller_disconnected = on_caller_disconnected,
	.is_ready = on_is_ready,
	.get_limits = on_get_limits,
	.free_descriptor = on_free_descriptor,
};

static const dws_stream_ops_t stream_ops = {
	.frame_received = on_frame,
	.frame_refused = on_frame_refused,
	.connection_lost = on_stream_lost,
};

static const dws_datagram_ops_t datagram_ops = {
	.datagram_received = on_datagram,
};

static const dws_http_client_ops_t client_ops = {
	.dispatch_finished = on_dispatch_finished,
	.platform_read_finished = on_platform_read,
	.surplus_closed = on_surplus_closed,
};

static const dws_http_server_ops_t server_ops = {
	.call = on_call,
	.caller_disconnected = on_caller_disconnected,
	.get_view = on_get_view,
	.get_metrics = on_get_metrics,
	.drain = on_drain,
};

static void io_answer(dws_io_t *io, uint64_t call_id,
		      const dws_answer_t *answer)
{
	dws_loop_t *loop = (dws_loop_t *)io;

	if (!loop->routed_server.connections ||
	    !dws_routed_server_answer(&loop->routed_server, call_id, answer))
		dws_http_server_answer(&loop->server, call_id, answer);
}

static void io_dispatch(dws_io_t *io, const dws_dispatch_t *dispatch)
{
	dws_http_client_dispatch(&((dws_loop_t *)io)->client, monotonic_us(),
				 dispatch);
}

static void io_cancel(dws_io_t *io, uint64_t attempt_id)
{
	dws_http_client_cancel(&((dws_loop_t *)io)->client, attempt_id);
}

static void io_send_frame(dws_io_t *io, const dws_address_t *to,
			  const dws_frame_t *frame)
{
	dws_streams_send(&((dws_loop_t *)io)->streams, to, frame);
}

static void io_send_datagram(dws_io_t *io, const dws_address_t *to,
			     const uint8_t *data, size_t size_bytes)
{
	dws_datagrams_send(&((dws_loop_t *)io)->datagrams, to, data,
			   size_bytes);
}

static void io_read_platform(dws_io_t *io, dws_platform_item_t item,
			     uint64_t after, int64_t wait_ms)
{
	dws_loop_t *loop = (dws_loop_t *)io;

	if (loop->uses_store)
		dws_store_read(&loop->store, item, wait_ms);
	else
		dws_http_client_read_platform(&loop->client, item, after,
					      wait_ms);
}

static void io_log(dws_io_t *io, dws_log_level_t level, const char *event,
		   const char *fields)
{
	dws_log_event(&((dws_loop_t *)io)->log, level, event, fields);
}

static void io_span(dws_io_t *io, const dws_span_t *span)
{
	dws_log_span(&((dws_loop_t *)io)->log, span);
}

static const dws_io_ops_t io_ops = {
	.answer = io_answer,
	.dispatch = io_dispatch,
	.cancel = io_cancel,
	.send_frame = io_send_frame,
	.send_datagram = io_send_datagram,
	.read_platform = io_read_platform,
	.log = io_log,
	.span = io_span,
};

/* Returns a file's modification time in ns; 0 if it can't be read. */
static int64_t modification_time_ns(const char *file)
{
	struct stat status;

	if (stat(file, &status) != 0)
		return 0;
	return status.st_mtim.tv_sec * NS_PER_S + status.st_mtim.tv_nsec;
}

/*
 * Applies the settings that can change while requests are in flight. The others
 * keep their values; of these, a change of service, zone, upstream or platform
 * is logged as needing a restart.
 */
static void apply_settings(dws_loop_t *loop, const dws_settings_t *updated)
{
	dws_settings_t *settings = &loop->settings;
	bool needs_restart =
		strcmp(settings->service, updated->service) != 0 ||
		strcmp(settings->zone, updated->zone) != 0 ||
		!dws_address_equal(&settings->upstream, &updated->upstream) ||
		!dws_address_equal(&settings->platform, &updated->platform);

	settings->log_level = updated->log_level;
	settings->max_calls = updated->max_calls;
	settings->upstream_slots = updated->upstream_slots;
	settings->retry_ratio = updated->retry_ratio;
	settings->retry_slack = updated->retry_slack;
	settings->retry_window_ms = updated->retry_window_ms;
	settings->drain_linger_ms = updated->drain_linger_ms;
	settings->stop_timeout_ms = updated->stop_timeout_ms;
	loop->log.level = updated->log_level;
	dws_node_reload(loop->node, settings);
	dws_log_pair(&loop->log, needs_restart ? DWS_LOG_WARNING : DWS_LOG_INFO,
		     "settings_reloaded", "needs_restart",
		     needs_restart ? "service, zone, upstream or platform"
				   : "nothing");
}

/* Reloads the settings; if they are invalid, the old ones stay in force. */
static void reload_settings(dws_loop_t *loop)
{
	dws_settings_t updated;
	GError *error = NULL;

	loop->settings_modified_ns = modification_time_ns(loop->settings_file);
	if (dws_settings_load(&updated, loop->settings_file, &error)) {
		apply_settings(loop, &updated);
		return;
	}
	dws_log_pair(&loop->log, DWS_LOG_ERROR, "settings_refused", "error",
		     error->message);
	g_error_free(error);
}

static void on_sighup(struct ev_loop *ev, ev_signal *watcher, int events)
{
	dws_loop_t *loop = watcher->data;

	begin_event(loop);
	reload_settings(loop);
}

/* Reloads a settings file that was changed without SIGHUP. */
static void on_settings_check(struct ev_loop *ev, ev_timer *watcher, int events)
{
	dws_loop_t *loop = watcher->data;
	int64_t modified_ns = modification_time_ns(loop->settings_file);

	if (modified_ns == 0 || modified_ns == loop->settings_modified_ns)
		return;
	begin_event(loop);
	reload_settings(loop);
}

static void init_watchers(dws_loop_t *loop)
{
	ev_signal_init(&loop->sighup, on_sighup, SIGHUP);
	ev_timer_init(&loop->settings_check, on_settings_check,
		      SETTINGS_CHECK_INTERVAL_S, SETTINGS_CHECK_INTERVAL_S);
	loop->sighup.data = loop;
	loop->settings_check.data = loop;
	ev_timer_init(&loop->tick, on_tick, 0, 0);
	ev_set_priority(&loop->tick, EV_MINPRI + 1);
	ev_timer_init(&loop->log_flush, on_log_flush, LOG_FLUSH_DELAY_S, 0);
	ev_signal_init(&loop->terminate, on_terminate, SIGTERM);
	ev_signal_init(&loop->interrupt, on_terminate, SIGINT);
	loop->tick.data = loop;
	loop->log_flush.data = loop;
	loop->terminate.data = loop;
	loop->interrupt.data = loop;
}

/* Returns the local address to bind for an address advertised to peers. */
static dws_address_t bind_address(const dws_settings_t *settings,
				  const dws_address_t *advertised)
{
	dws_address_t address = *advertised;

	if (settings->bind_ip[0])
		g_strlcpy(address.ip, settings->bind_ip, sizeof(address.ip));
	return address;
}

/* Opens the peer sockets and the HTTP client, which the node uses at once. */
static bool open_transports(dws_loop_t *loop, GError **error)
{
	dws_settings_t *settings = &loop->settings;
	size_t frame_max_bytes =
		settings->max_body_bytes + DWS_FRAME_OVERHEAD_MAX_BYTES;
	dws_address_t frames = bind_address(settings, &settings->frame_listen);
	dws_address_t datagrams =
		bind_address(settings, &settings->datagram_listen);

	if (!dws_streams_init(&loop->streams, &stream_ops, loop, loop->ev,
			      &loop->startup_counters, &loop->memory, &frames,
			      frame_max_bytes, error))
		return false;
	if (!dws_datagrams_init(&loop->datagrams, &datagram_ops, loop, loop->ev,
				&loop->startup_counters, &datagrams, error)) {
		dws_streams_finish(&loop->streams);
		return false;
	}
	if (!dws_http_client_init(&loop->client, &client_ops, loop, loop->ev,
				  &loop->memory, settings,
				  &dws_platform_http_names, error)) {
		dws_datagrams_finish(&loop->datagrams);
		dws_streams_finish(&loop->streams);
		return false;
	}
	/* Port 0 in the settings: the system has assigned one. */
	settings->frame_listen.port = loop->streams.address.port;
	settings->datagram_listen.port = loop->datagrams.address.port;
	loop->uses_store = strcmp(settings->platform_protocol, "store") == 0;
	if (loop->uses_store)
		dws_store_init(&loop->store, &loop->client, settings,
			       &loop->log, on_platform_read, loop);
	return true;
}

static void close_transports(dws_loop_t *loop)
{
	dws_http_client_finish(&loop->client);
	if (loop->uses_store)
		dws_store_finish(&loop->store);
	dws_datagrams_finish(&loop->datagrams);
	dws_streams_finish(&loop->streams);
}

/* Starts the node with an epoch and a seed from getrandom(). */
static bool start_node(dws_loop_t *loop, GError **error)
{
	struct {
		uint64_t epoch;
		uint64_t seed;
	} random_values;

	if (getrandom(&random_values, sizeof(random_values), 0) !=
	    sizeof(random_values)) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_SYSTEM,
			    "getrandom: no random bytes; check that the "
			    "system's random source is ready");
		return false;
	}
	loop->node = g_malloc0(dws_node_size_bytes());
	loop->node_time_us = monotonic_us();
	loop->next_tick_us = loop->node_time_us;
	/* An epoch of 0 means unknown. */
	dws_node_init(loop->node, &loop->settings, &loop->io,
		      random_values.epoch | 1, random_values.seed,
		      loop->node_time_us, wall_ms());
	loop->streams.counters = dws_node_counters(loop->node);
	loop->datagrams.counters = dws_node_counters(loop->node);
	return true;
}

static void log_address(dws_loop_t *loop, const char *name,
			const dws_address_t *address)
{
	char fields[128];

	if (!address->ip[0])
		return;
	g_snprintf(fields, sizeof(fields), "name=%s ip=%s port=%u", name,
		   address->ip, address->port);
	dws_log_event(&loop->log, DWS_LOG_INFO, "listening", fields);
}

static void log_start(dws_loop_t *loop)
{
	const dws_listener_t *listeners = loop->server.listeners;

	dws_log_pair(&loop->log, DWS_LOG_INFO, "started", "vm",
		     loop->settings.vm_id);
	log_address(loop, "callers", &listeners[DWS_LISTENER_CALLERS].address);
	log_address(loop, "upstream",
		    &listeners[DWS_LISTENER_UPSTREAM].address);
	log_address(loop, "admin", &listeners[DWS_LISTENER_ADMIN].address);
	log_address(loop, "routed", &loop->routed_server.address);
	log_address(loop, "readiness", &loop->readiness.address);
	log_address(loop, "frames", &loop->streams.address);
	log_address(loop, "datagrams", &loop->datagrams.address);
	dws_log_flush(&loop->log);
}

/* Starts the optional routed and readiness listeners. */
static bool start_optional_listeners(dws_loop_t *loop, GError **error)
{
	const dws_settings_t *settings = &loop->settings;
	dws_counters_t *counters = dws_node_counters(loop->node);

	if (settings->routed_listen.ip[0] &&
	    !dws_routed_server_init(&loop->routed_server, &routed_server_ops,
				    loop, loop->ev, counters, &loop->memory,
				    &dws_platform_http_names, settings,
				    &settings->routed_listen, error))
		return false;
	if (settings->ready_listen.ip[0] &&
	    !dws_routed_server_init(&loop->readiness, &routed_server_ops, loop,
				    loop->ev, counters, &loop->memory,
				    &dws_platform_http_names, settings,
				    &settings->ready_listen, error))
		return false;
	loop->readiness.readiness_only = true;
	return true;
}

/* Starts the node, then the listeners that accept requests. */
static bool start_serving(dws_loop_t *loop, GError **error)
{
	if (!start_node(loop, error))
		return false;
	if (dws_http_server_init(&loop->server, &server_ops, loop, loop->ev,
				 dws_node_counters(loop->node), &loop->memory,
				 &loop->settings, error)) {
		if (start_optional_listeners(loop, error))
			return true;
		dws_http_server_finish(&loop->server);
	}
	dws_routed_server_finish(&loop->routed_server);
	dws_routed_server_finish(&loop->readiness);
	dws_node_finish(loop->node);
	g_free(loop->node);
	return false;
}

/* Starts the daemon; see loop_io.h. */
bool dws_loop_init(dws_loop_t *loop, const dws_settings_t *settings,
		   const char *settings_file, GError **error)
{
	memset(loop, 0, sizeof(*loop));
	loop->io.ops = &io_ops;
	loop->settings = *settings;
	dws_memory_init(&loop->memory, settings->memory_mb);
	dws_limit_report_init(&loop->limit_report);
	if (!dws_log_init(&loop->log, settings->log_file, settings->log_level,
			  error))
		return false;
	signal(SIGPIPE, SIG_IGN);
	loop->settings_file = g_strdup(settings_file);
	loop->settings_modified_ns = modification_time_ns(settings_file);
	loop->ev = ev_loop_new(EVBACKEND_EPOLL | EVFLAG_NOENV);
	init_watchers(loop);
	if (open_transports(loop, error)) {
		if (start_serving(loop, error)) {
			log_start(loop);
			return true;
		}
		close_transports(loop);
	}
	ev_timer_stop(loop->ev, &loop->tick);
	ev_clear_pending(loop->ev, &loop->tick);
	ev_loop_destroy(loop->ev);
	dws_log_finish(&loop->log);
	g_free(loop->settings_file);
	return false;
}

/* Blocks signals, so that a late one can't kill the process in shutdown. */
static void block_signals(void)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGHUP);
	sigprocmask(SIG_BLOCK, &signals, NULL);
}

/* Serves until the drain after SIGTERM, SIGINT or /drain is complete. */
void dws_loop_run(dws_loop_t *loop)
{
	ev_signal_start(loop->ev, &loop->terminate);
	ev_signal_start(loop->ev, &loop->interrupt);
	ev_signal_start(loop->ev, &loop->sighup);
	ev_timer_start(loop->ev, &loop->settings_check);
	ev_feed_event(loop->ev, &loop->tick, EV_TIMER);
	ev_run(loop->ev, 0);
	block_signals();
	ev_signal_stop(loop->ev, &loop->terminate);
	ev_signal_stop(loop->ev, &loop->interrupt);
	ev_signal_stop(loop->ev, &loop->sighup);
	ev_timer_stop(loop->ev, &loop->settings_check);
}

/* Closes all sockets and files, and frees the node. */
void dws_loop_finish(dws_loop_t *loop)
{
	dws_routed_server_finish(&loop->readiness);
	dws_routed_server_finish(&loop->routed_server);
	dws_http_server_finish(&loop->server);
	close_transports(loop);
	dws_node_finish(loop->node);
	g_free(loop->node);
	ev_timer_stop(loop->ev, &loop->tick);
	ev_timer_stop(loop->ev, &loop->log_flush);
	ev_clear_pending(loop->ev, &loop->tick);
	ev_loop_destroy(loop->ev);
	dws_log_pair(&loop->log, DWS_LOG_INFO, "stopped", NULL, NULL);
	dws_log_finish(&loop->log);
	g_free(loop->settings_file);
}
