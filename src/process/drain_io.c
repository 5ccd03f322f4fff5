/*
 * The end of a daemon.
 */
#include "process/drain_io.h"

/*
 * Time after the end of the drain in which open connections can still send
 * requests and get answers.
 */
#define DRAIN_GRACE_US (200 * DWS_US_PER_MS)
/* Time limit for clients that read the last answers slowly. */
#define DRAIN_FLUSH_TIMEOUT_US (5 * DWS_US_PER_S)
/*
 * Time after DRAIN_GRACE_US in which connections from the accept queue are
 * still answered; closing the listener would reset them.
 */
#define DRAIN_ACCEPT_US DWS_US_PER_S
/* Percentage of the stop timeout after which the process ends by itself. */
#define STOP_DEADLINE_PERCENT 90
/*
 * Percentage of the stop timeout after which no request is taken any more. What
 * is taken until then has the rest of the time to be answered.
 */
#define STOP_INTAKE_PERCENT 50
#define PERCENT 100

void dws_drain_start(dws_loop_t *loop, int64_t now_us, const char *cause)
{
	if (loop->is_draining)
		return;
	loop->is_draining = true;
	dws_log_pair(&loop->log, DWS_LOG_INFO, "drain_started", "cause", cause);
	loop->drain_started_us = now_us;
	dws_http_server_drain(&loop->server);
	dws_routed_server_drain(&loop->routed_server);
	dws_node_drain(loop->node, now_us);
}

static void end_drain(dws_loop_t *loop, bool answers_cut)
{
	dws_log_pair(&loop->log, answers_cut ? DWS_LOG_WARNING : DWS_LOG_INFO,
		     "drain_ended", "answers_cut",
		     answers_cut ? "true" : "false");
	ev_break(loop->ev, EVBREAK_ALL);
}

/* True once a percentage of the stop timeout is over, if there is one. */
static bool is_stop_timeout_used(const dws_loop_t *loop, int64_t now_us,
				 int64_t percent)
{
	int64_t timeout_us = loop->settings.stop_timeout_ms * DWS_US_PER_MS;

	return timeout_us > 0 && now_us - loop->drain_started_us >=
					 timeout_us * percent / PERCENT;
}

/* True once a drain has lasted drain_linger_ms. */
static bool is_linger_over(const dws_loop_t *loop, int64_t now_us)
{
	return now_us - loop->drain_started_us >=
	       loop->settings.drain_linger_ms * DWS_US_PER_MS;
}

void dws_drain_check(dws_loop_t *loop, int64_t now_us)
{
	if (!loop->is_draining)
		return;
	if (is_stop_timeout_used(loop, now_us, STOP_DEADLINE_PERCENT)) {
		end_drain(loop, true);
		return;
	}
	if (is_linger_over(loop, now_us) ||
	    is_stop_timeout_used(loop, now_us, STOP_INTAKE_PERCENT))
		dws_routed_server_quiesce(&loop->routed_server);
	if (!loop->drain_ended_us) {
		if (!dws_node_is_drained(loop->node, now_us))
			return;
		loop->drain_ended_us = now_us;
		dws_http_server_drain(&loop->server);
		dws_http_server_quiesce(&loop->server);
	}
	int64_t elapsed_us = now_us - loop->drain_ended_us;
	bool has_timed_out = elapsed_us > DRAIN_FLUSH_TIMEOUT_US;

	if (elapsed_us < DRAIN_GRACE_US)
		return;
	if (!dws_http_server_is_idle(&loop->server) && !has_timed_out)
		return;
	if (!dws_routed_server_is_idle(&loop->routed_server) && !has_timed_out)
		return;
	if (elapsed_us < DRAIN_GRACE_US + DRAIN_ACCEPT_US &&
	    dws_routed_server_accept_pending(&loop->routed_server))
		return;
	end_drain(loop, has_timed_out);
}
