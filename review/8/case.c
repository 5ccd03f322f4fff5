/*
 * The VMs whose daemons read the store are cut off from it; all others still
 * reach it. The case counts the requests to those others that are run by the
 * service of an older configuration, though they were sent later than
 * config_apply after the acknowledgement of a newer one.
 */
#include "../harness.h"

#include <stdlib.h>
#include <string.h>

#define HOST "portfolios.example"
#define PREFIX "/portfolio/"
#define OLD_SERVICE "gallery"
#define NEW_SERVICE "agenda"
#define VMS_PER_ZONE 6
/* Share of the VMs that may be cut off at a time. */
#define CUT_SHARE_MAX 0.35
#define CUT_MS 12000
#define CONFIG_AFTER_CUT_MS 1000
#define CONFIG_APPLY_MS 2000
/* A VM that has called the store within this time reads it. */
#define READER_MS 4500
#define SETTLE_MIN_MS 8000
#define SETTLE_MAX_MS 30000
#define ROUND_INTERVAL_MS 250
#define DEADLINE_MS 2000

static int sent, run_by_old, run_by_new, not_run;

static bool serve(upstream_request_t *request)
{
	if (!upstream_read_body(request, 0))
		return false;
	note_run(request);
	return upstream_answer(request, 100);
}

/* Marks the VMs that read the store; returns their number. */
static int find_readers(bool is_reader[VM_MAX])
{
	int count = 0;

	for (int i = 0; i < vm_count; i++) {
		is_reader[i] = now_ms() - vms[i].last_read_ms < READER_MS;
		count += is_reader[i];
	}
	return count;
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
	static const char *const services[] = {"gallery", "cassa", "agenda"};
	bool is_reader[VM_MAX] = {false};
	int reader_count;

	harness_start(argc > 1 ? argv[1] : ".");
	for (int i = 0; i < 3 * VMS_PER_ZONE; i++)
		add_vm(zones[i / VMS_PER_ZONE], services[i % 3], serve);
	put_config(7, "15000ms",
		   route_json("portfolio", HOST, PREFIX, "idempotent",
			      OLD_SERVICE, "2000ms"));
	start_daemons();
	int64_t ready_ms = now_ms();

	sleep_ms(SETTLE_MIN_MS);
	do {
		sleep_ms(100);
		reader_count = find_readers(is_reader);
	} while (reader_count > vm_count * CUT_SHARE_MAX &&
		 now_ms() - ready_ms < SETTLE_MAX_MS);
	record("%d of %d VMs read the store", reader_count, vm_count);
	if (reader_count > vm_count * CUT_SHARE_MAX)
		harness_end(CASE_NOT_RUN);
	int64_t cut_ms = now_ms();

	for (int i = 0; i < vm_count && harness_has_trouble(); i++) {
		vms[i].is_cut = is_reader[i];
		if (is_reader[i])
			record("%s is cut off from the store", vms[i].ip);
	}
	sleep_ms(CONFIG_AFTER_CUT_MS);
	int64_t acked_ms =
		put_config(9, "15000ms",
			   route_json("portfolio", HOST, PREFIX, "idempotent",
				      NEW_SERVICE, "2000ms"));

	while (now_ms() - acked_ms <= CONFIG_APPLY_MS)
		sleep_ms(10);
	while (now_ms() - cut_ms < CUT_MS) {
		for (int i = 0; i < vm_count; i++) {
			if (!is_reader[i])
				send_request(&vms[i], acked_ms);
		}
		sleep_ms(ROUND_INTERVAL_MS);
	}
	int callers = 0;

	for (int i = 0; i < vm_count; i++) {
		callers += !is_reader[i] && vms[i].last_read_ms > cut_ms;
		vms[i].is_cut = false;
	}
	record("VMs that were never cut off and called the store meanwhile: %d",
	       callers);
	record("sent later than %d ms after the ack to VMs that were never cut "
	       "off: %d; run by %s: %d, by %s: %d, by none: %d",
	       CONFIG_APPLY_MS, sent, OLD_SERVICE, run_by_old, NEW_SERVICE,
	       run_by_new, not_run);
	if (run_by_old + run_by_new == 0)
		harness_end(CASE_NOT_RUN);
	harness_end(run_by_old > 0 ? RULE_BROKEN : RULE_HELD);
}
