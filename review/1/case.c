/*
 * One of two upstreams breaks off 2 in 100 of its answers in the middle of the
 * head, as a process does that crashes while it answers. No caller may get such
 * an answer as a success.
 */
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define PLAY_MS 25000
#define CALLERS 4
#define ANSWER_BYTES 600
#define DEADLINE_MS 5000
#define PAUSE_MS 5
/* The faulty upstream breaks off one answer in so many: 2 in 100. */
#define BROKEN_DIVISOR 50

static const char listeners[] =
	"{\"version\":7,\"limits\":{\"max_header_bytes\":16384,"
	"\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\","
	"\"idle_timeout\":\"15000ms\"},\"listeners\":[{\"host\":"
	"\"shop.example\",\"policy\":[{\"name\":\"r-read\",\"kind\":"
	"\"idempotent\",\"target_latency\":\"1500ms\",\"priority\":1,"
	"\"match\":{\"prefix\":\"/read/\"},\"action\":{\"service\":"
	"\"gallery\",\"timeout\":\"2000ms\",\"attempts\":2}},"
	"{\"name\":\"r-pay\",\"kind\":\"non_idempotent\",\"target_latency\":"
	"\"3000ms\",\"priority\":2,\"match\":{\"prefix\":\"/pay/\"},\"action\":"
	"{\"service\":\"gallery\",\"timeout\":\"2000ms\",\"attempts\":2}}]}],"
	"\"clusters\":[{\"name\":\"gallery\",\"health_path\":\"/healthz\","
	"\"max_conns\":484}]}";

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int run_count;
static int faulty_run_count; /* at the faulty upstream */
static int broken_count;
static int answer_count;
static int success_count;
static int wrong_count;
static bool is_over;

/* Answers; breaks off one in BROKEN_DIVISOR on the second VM. */
static bool serve(upstream_request_t *request)
{
	char head[1024];
	char signature[512];
	bool is_faulty = request->vm->number == 2;
	bool breaks;
	bool has_signature;

	pthread_mutex_lock(&lock);
	run_count++;
	faulty_run_count += is_faulty;
	breaks = site.has_trouble && is_faulty &&
		 faulty_run_count % BROKEN_DIVISOR == 0;
	broken_count += breaks;
	has_signature = broken_count % 2 == 0;
	pthread_mutex_unlock(&lock);
	record("upstream %d: ran %s %s %s%s", request->vm->number,
	       request->method, request->path, request->attempt_id,
	       breaks ? ", breaks off its answer" : "");
	if (!breaks)
		return send_sound_answer(request, ANSWER_BYTES);
	sound_signature(request->attempt_id, signature, sizeof(signature));
	int length = snprintf(head, sizeof(head),
			      "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n",
			      request->attempt_id);

	/* The connection ends before or after the line of the signature. */
	if (has_signature)
		length += snprintf(head + length, sizeof(head) - (size_t)length,
				   "Response-Signature: %s\r\nContent-Le",
				   signature);
	send_all(request->fd, head, (size_t)length);
	return false;
}

/* True if a success is the whole answer of the upstream. */
static bool is_sound(const answer_t *answer, const char *id)
{
	char signature[512];

	sound_signature(id, signature, sizeof(signature));
	if (!answer->has_signature || strcmp(answer->signature, signature) != 0)
		return false;
	if (answer->body_bytes != ANSWER_BYTES)
		return false;
	for (size_t i = 0; i < answer->body_bytes; i++) {
		if (answer->body[i] != sound_byte(id, i))
			return false;
	}
	return true;
}

static void check_answer(const answer_t *answer, const char *id)
{
	bool is_success = answer->is_whole && answer->status / 100 == 2;
	bool is_wrong = is_success && !is_sound(answer, id);

	pthread_mutex_lock(&lock);
	answer_count++;
	success_count += is_success;
	wrong_count += is_wrong;
	pthread_mutex_unlock(&lock);
	record("caller: %s got %d, %zu bytes%s%s", id, answer->status,
	       answer->body_bytes,
	       answer->has_signature ? "" : ", no signature",
	       is_wrong ? ": WRONG, a success that is not the upstream's "
			  "whole answer"
			: "");
}

static void *call(void *data)
{
	int number = (int)(intptr_t)data;
	const vm_t *vm = &site.vms[number % site.vm_count];
	bool is_payment = number >= CALLERS / 2;
	answer_t *answer = calloc(1, sizeof(*answer));
	int fd = -1;

	while (!is_over) {
		char id[32];

		new_id(id, sizeof(id));
		if (fd < 0)
			fd = connect_to(vm->ip, site.routed_port, 0);
		if (fd < 0)
			continue;
		if (send_request(fd, is_payment ? "POST" : "GET",
				 is_payment ? "/pay/deposit" : "/read/album",
				 id, DEADLINE_MS, "", is_payment ? "x" : NULL,
				 is_payment ? 1 : 0)) {
			read_answer(fd, answer, DEADLINE_MS + 1000);
			check_answer(answer, id);
		}
		if (answer->closes) {
			close(fd);
			fd = -1;
		}
		sleep_ms(PAUSE_MS);
	}
	free(answer);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t threads[CALLERS];
	int status;

	site_start(argc > 1 ? argv[1] : ".");
	site_add("gallery", "palermo-a", serve);
	site_add("gallery", "catania-a", serve);
	store_put("op/config", listeners);
	for (int i = 0; i < site.vm_count; i++)
		vm_start_daemon(&site.vms[i]);
	if (!site_await_ready(15000))
		site_exit(EXIT_NOT_RUN);
	for (int i = 0; i < CALLERS; i++)
		threads[i] = run_thread(call, (void *)(intptr_t)i);
	sleep_ms(PLAY_MS);
	is_over = true;
	for (int i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);
	record("%d runs, %d at the faulty upstream, %d answers broken off, %d "
	       "answers, %d successes, "
	       "%d of them wrong",
	       run_count, faulty_run_count, broken_count, answer_count,
	       success_count, wrong_count);
	printf("%d runs, %d at the faulty upstream, %d answers broken off, %d "
	       "answers, %d successes, "
	       "%d of them wrong\n",
	       run_count, faulty_run_count, broken_count, answer_count,
	       success_count, wrong_count);
	status = wrong_count > 0 ? EXIT_BROKEN : EXIT_HELD;
	if (success_count == 0 || (site.has_trouble && broken_count == 0))
		status = EXIT_NOT_RUN;
	site_exit(status);
}
