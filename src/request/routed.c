/*
 * Requests of the routed listener. Each is one attempt of its caller, and only
 * this daemon ever dispatches it, so that it needs no ticket. Its route defines
 * whether it may be retried and how long it may take.
 */
#include "request/nested_call.h"
#include "request/request.h"

#include <string.h>

/* Divisor: a root request waits unsent for up to 1/4 of its objective. */
#define MAX_WAIT_DIVISOR 4
/*
 * The same for nested calls: 1/2, as refusing one wastes the work that its
 * caller has already done.
 */
#define CALL_MAX_WAIT_DIVISOR 2
/* Divisor: a wait of a nested call is tolerated up to 1/4 of its objective. */
#define TOLERATED_WAIT_DIVISOR 4
/* Divisor: Retry-After is 1/4 of the time to the deadline, within limits. */
#define RETRY_AFTER_DIVISOR 4
#define RETRY_AFTER_MIN_MS 20
#define RETRY_AFTER_MAX_MS 1000
/* Requests with a shorter timeout are refused: no answer could be in time. */
#define MIN_TIMEOUT_US (1 * DWS_US_PER_MS)
#define STATUS_UNAVAILABLE 503
#define STATUS_BAD_GATEWAY 502
#define STATUS_GATEWAY_TIMEOUT 504

/*
 * Fills in the kind of a routed request from its route and from the service
 * drawn at random by the weights of the route's targets.
 */
static void apply_route(dws_node_t *node, dws_request_t *request,
			const dws_route_t *route)
{
	const dws_route_target_t *target =
		dws_route_select_target(route, (uint32_t)dws_node_random(node));
	dws_kind_t *kind = &request->kind;

	g_strlcpy(kind->name, route->name, sizeof(kind->name));
	g_strlcpy(kind->service, target->service, sizeof(kind->service));
	kind->priority = route->priority;
	kind->worth = route->worth;
	kind->idempotent = route->idempotent;
	kind->timeout_ms = route->timeout_ms;
	request->objective_ms = MIN(route->objective_ms, route->timeout_ms);
	request->max_attempts = route->max_attempts;
}

/* Determines whether a request is a nested call, and of which attempt. */
static void detect_origin(dws_node_t *node, dws_request_t *request,
			  int64_t deadline_us)
{
	dws_call_origin_t origin = dws_nested_call_detect(
		node, request->kind.name, request->attempt_key, deadline_us);

	request->is_nested_call = origin.is_nested_call;
	request->caller_attempt = origin.attempt_id;
}

/* Checks and classifies a routed call; DWS_REASON_NONE if it is admitted. */
static dws_reason_t admit(dws_node_t *node, dws_request_t *request,
			  const dws_call_t *call)
{
	const dws_config_t *config =
		dws_config_state_config(node->config_state);
	const dws_route_t *route;

	if (!call->method || !call->path || !call->host)
		return DWS_REASON_BAD_REQUEST;
	if (!config)
		return DWS_REASON_STARTING;
	request->config_version = dws_config_state_version(node->config_state);
	if (call->timeout_us > 0 && call->timeout_us < MIN_TIMEOUT_US)
		return DWS_REASON_DEADLINE;
	route = dws_config_match_route(config, call->host, call->path);
	if (!route)
		return DWS_REASON_NO_ROUTE;
	apply_route(node, request, route);
	if (call->timeout_us > 0)
		detect_origin(node, request, node->now_us + call->timeout_us);
	if (dws_request_limit_reached(node, route->priority))
		return DWS_REASON_OVERLOAD;
	if (!request->is_nested_call &&
	    g_rand_double(node->random) >
		    dws_root_throttle_admitted_share(&node->root_throttle,
						     node->now_us, route->name))
		return DWS_REASON_DOWNSTREAM_OVERLOAD;
	return DWS_REASON_NONE;
}

/* Takes over the age of the root request from the attempt that makes a call. */
static void inherit_root_age(dws_node_t *node, dws_request_t *request)
{
	const dws_attempt_t *caller =
		dws_attempt_find_running(node, request->caller_attempt);

	request->context.is_nested = true;
	if (caller)
		request->context.root_started_us =
			caller->context.root_started_us;
}

/* Handles a call of the routed listener. */
void dws_request_on_routed_call(dws_node_t *node, uint64_t id,
				const dws_call_t *call)
{
	dws_request_t *request = dws_request_create(node, id);
	dws_reason_t reason;

	request->is_routed = true;
	if (call->attempt_key)
		g_strlcpy(request->attempt_key, call->attempt_key,
			  sizeof(request->attempt_key));
	reason = admit(node, request, call);
	dws_count(node, request->is_nested_call ? DWS_COUNT_NESTED_CALLS
						: DWS_COUNT_CALLS);
	if (reason != DWS_REASON_NONE) {
		dws_request_refuse(node, request, reason);
		return;
	}
	dws_request_init_root_context(node, request, call);
	if (request->is_nested_call)
		inherit_root_age(node, request);
	dws_request_set_payload(request, call);
	dws_request_start_deadline_timer(node, request);
	dws_timer_t timer = {.due_us = node->now_us +
				       dws_request_wait_left_us(node, request),
			     .kind = DWS_TIMER_REQUEST_WAIT_TIMEOUT,
			     .id = request->id};

	dws_timers_add(&node->timers, &timer);
	dws_retry_budget_add_request(&node->retry_budget, node->now_us,
				     request->kind.service);
	dws_request_route(node, request);
}

/* Remaining time for which a routed request may wait unsent, in us. */
int64_t dws_request_wait_left_us(const dws_node_t *node,
				 const dws_request_t *request)
{
	int64_t divisor = request->is_nested_call ? CALL_MAX_WAIT_DIVISOR
						  : MAX_WAIT_DIVISOR;
	int64_t until_us = request->start_us +
			   request->objective_ms * DWS_US_PER_MS / divisor;

	return MAX(until_us - node->now_us, 0);
}

/* Refuses a routed request that has not been sent within its wait limit. */
void dws_request_on_wait_timeout(dws_node_t *node, uint64_t id)
{
	dws_request_t *request = dws_request_find(node, id);

	if (request && (request->state == DWS_REQUEST_HELD ||
			request->state == DWS_REQUEST_DELAYED))
		dws_request_refuse(node, request, DWS_REASON_OVERLOAD);
}

/*
 * Counts an upstream that may have received the request, and takes a retry
 * from the shared budget; false if no further upstream may be tried.
 */
bool dws_request_take_retry(dws_node_t *node, dws_request_t *request,
			    bool may_have_run)
{
	request->upstreams_reached++;
	return request->upstreams_reached < request->max_attempts &&
	       dws_retry_budget_try_spend(
		       &node->retry_budget, node->now_us, request->kind.service,
		       dws_node_alive_member_count(node), may_have_run);
}

/* True if a request did not run for lack of capacity at its service. */
static bool is_capacity_refusal(const dws_result_t *result)
{
	return result->outcome == DWS_OUTCOME_NOT_RUN &&
	       (result->reason == DWS_REASON_OVERLOAD ||
		result->reason == DWS_REASON_UPSTREAM_SHED ||
		result->reason == DWS_REASON_DEADLINE);
}

/* Measures the congestion of a nested call's service by this call. */
static dws_congestion_report_t measure_congestion(dws_node_t *node,
						  const dws_request_t *request,
						  const dws_result_t *result)
{
	dws_congestion_report_t report = {.call_refused =
						  is_capacity_refusal(result)};
	int64_t tolerated_us =
		request->objective_ms * DWS_US_PER_MS / TOLERATED_WAIT_DIVISOR;
	bool has_failed =
		report.call_refused || result->reason == DWS_REASON_DEADLINE;

	dws_congestion_record(
		&node->congestion, node->now_us, request->kind.service,
		has_failed ? tolerated_us : request->waited_us, tolerated_us);
	report.permille = dws_congestion_permille(
		&node->congestion, node->now_us, request->kind.service);
	if (report.permille > 0)
		g_strlcpy(report.service, request->kind.service,
			  sizeof(report.service));
	return report;
}

/*
 * Reports the congestion that a routed request and its nested calls have met:
 * for a call of the local upstream to the attempt that made it, for a root
 * request to the throttle of root requests.
 */
void dws_request_report_congestion(dws_node_t *node,
				   const dws_request_t *request,
				   const dws_result_t *result)
{
	dws_congestion_report_t report = request->congestion;

	if (request->is_nested_call) {
		dws_congestion_report_t own =
			measure_congestion(node, request, result);

		dws_congestion_report_merge(&report, &own);
		dws_attempt_report_congestion(node, request->caller_attempt,
					      &report);
		return;
	}
	if (result->outcome != DWS_OUTCOME_NOT_RUN)
		dws_root_throttle_record_end(&node->root_throttle, node->now_us,
					     request->kind.name, report.service,
					     report.permille);
}

/* The Retry-After of a refused request, a part of its remaining time. */
static uint32_t retry_after_ms(const dws_node_t *node,
			       const dws_request_t *request)
{
	int64_t left_ms =
		(request->context.deadline_us - node->now_us) / DWS_US_PER_MS;

	return (uint32_t)CLAMP(left_ms / RETRY_AFTER_DIVISOR,
			       RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

static bool is_client_error(uint16_t status)
{
	return status >= 400 && status < 500;
}

/*
 * Maps a result to the status codes of the routed listener: 503 if the request
 * did not run, 504 if it was not answered in time, 502 if the answer was lost.
 * Answers of an upstream and errors of the request are passed unchanged.
 */
dws_result_t dws_result_to_routed_status(const dws_node_t *node,
					 const dws_request_t *request,
					 const dws_result_t *result)
{
	dws_result_t routed = *result;

	if (result->outcome == DWS_OUTCOME_COMPLETE ||
	    is_client_error(result->status))
		return routed;
	if (result->outcome == DWS_OUTCOME_NOT_RUN) {
		routed.status = STATUS_UNAVAILABLE;
		routed.retry_after_ms = retry_after_ms(node, request);
		return routed;
	}
	routed.retry_after_ms = 0;
	routed.status = result->reason == DWS_REASON_DEADLINE
				? STATUS_GATEWAY_TIMEOUT
				: STATUS_BAD_GATEWAY;
	return routed;
}
