/*
 * A configuration moves a route to another service and sets an idle_timeout of
 * 15 minutes. The case counts the requests that are run by the old service,
 * though they were sent later than config_apply after the acknowledgement.
 */
#include "../harness.h"

#include <stdlib.h>
#include <string.h>

#define HOST "portfolios.example"
#define PREFIX "/portfolio/"
#define OLD_SERVICE "gallery"
#define NEW_SERVICE "cassa"
#define USUAL_IDLE_TIMEOUT "15000ms"
#define LONG_IDLE_TIMEOUT "900s"
#define CONFIG_APPLY_MS 2000
#define OBSERVED_MS 10000
#define ROUND_INTERVAL_MS 250
#define SETTLE_MS 4000
#define DEADLINE_MS 2000

static int sent, run_by_old, run_by_new, not_run;

static bool serve(upstream_request_t *request)
{
	if (!upstream_read_body(request, 0))
		return false;
	note_run(request);
	return upstream_answer(request, 100);
}

/* Sends one request on a new connection and notes which service ran it. */
static void send_request(vm_t *vm, int64_t acked_ms)
{
	static consumer_t consumer;
	char attempt[ID_SIZE];
	size_t length = 0;
	int status = 0;

	new_attempt_id(attempt);
	int64_t after_ms = now_ms() - acked_ms;

	if (consumer_connect(&consumer, vm, 0) &&
	    consumer_send(&consumer, "GET", HOST, PREFIX "list", attempt,
			  DEADLINE_MS, 0))
		status = consumer_read_head(&consumer, &length);
	consumer_close(&consumer);
	const vm_t *ran = find_run(attempt);

	sent++;
	if (!ran)
		not_run++;
	else if (strcmp(ran->service, OLD_SERVICE) == 0)
		run_by_old++;
	else
		run_by_new++;
	record("request %s, sent %d ms after the ack to %s: status %d, run by "
	       "%s",
	       attempt, (int)after_ms, vm->ip, status,
	       ran ? ran->service : "none");
}

int main(int argc, char **argv)
{
	static const char *const zones[] = {"palermo-a", "catania-a",
					    "palermo-b"};

	harness_start(argc > 1 ? argv[1] : ".");
	for (int i = 0; i < 3; i++) {
		add_vm(zones[i], OLD_SERVICE, serve);
		add_vm(zones[i], NEW_SERVICE, serve);
	}
	put_config(7, USUAL_IDLE_TIMEOUT,
		   route_json("portfolio", HOST, PREFIX, "idempotent",
			      OLD_SERVICE, "2000ms"));
	start_daemons();
	sleep_ms(SETTLE_MS);
	int64_t acked_ms = put_config(
		9,
		harness_has_trouble() ? LONG_IDLE_TIMEOUT : USUAL_IDLE_TIMEOUT,
		route_json("portfolio", HOST, PREFIX, "idempotent", NEW_SERVICE,
			   "2000ms"));

	while (now_ms() - acked_ms <= CONFIG_APPLY_MS)
		sleep_ms(10);
	while (now_ms() - acked_ms < OBSERVED_MS) {
		for (int i = 0; i < vm_count; i++)
			send_request(&vms[i], acked_ms);
		sleep_ms(ROUND_INTERVAL_MS);
	}
	record("sent later than %d ms after the ack: %d; run by %s: %d, by %s: "
	       "%d, by none: %d",
	       CONFIG_APPLY_MS, sent, OLD_SERVICE, run_by_old, NEW_SERVICE,
	       run_by_new, not_run);
	if (run_by_old + run_by_new == 0)
		harness_end(CASE_NOT_RUN);
	harness_end(run_by_old > 0 ? RULE_BROKEN : RULE_HELD);
}
