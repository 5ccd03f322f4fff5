/*
 * Upstreams that break off answers at any byte, spoil their heads, write them
 * twice (at once, or late on a connection that is in use again) and add other
 * bytes, in an order from a seed. Callers on kept connections, through each of
 * three daemons, get whole answers of their own or none: a success is the
 * upstream's, with its signature and its body.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "support/routes.h"
#include "support/suite.h"

#define CALLERS 12
#define REQUESTS_PER_CALLER 150
/* Percentage of answers without a fault. */
#define SOUND_PERCENT 50
/* Longest time until a copy is written. */
#define COPY_DELAY_MAX_US 40000
#define BODY_BYTES 40
/* At least one in so many requests is served. */
#define SUCCESS_DIVISOR 4

static const char *const services[] = {"web", "web", "pay", NULL};

/* What an upstream does with its answer. */
typedef enum fault {
	FAULT_CUT, /* ends it at some byte */
	FAULT_RESET, /* the same, with a reset */
	FAULT_CUT_CHUNKS, /* the same, of an answer in chunks with a trailer */
	FAULT_CUT_UNFRAMED_HEAD, /* the same, in the head of one without length */
	FAULT_SPOILT_HEAD, /* another byte in a name, or no line end */
	FAULT_COPY, /* writes it once more at once */
	FAULT_LATE_COPY, /* writes it once more later */
	FAULT_REFUSAL_COPY, /* refuses, and refuses once more later */
	FAULT_EXTRA_BYTES, /* adds bytes that are no answer */
	FAULT_COUNT
} fault_t;

/* Draws the faults; the upstreams' threads share it. */
static GRand *fault_random;
static GMutex fault_lock;

/* Callers that got something else than an answer of their own. */
static gint wrong_answers;

typedef struct caller {
	platform_t *platform;
	int number;
	int successes;
} caller_t;

static int draw(int count)
{
	g_mutex_lock(&fault_lock);
	int number = g_rand_int_range(fault_random, 0, count);

	g_mutex_unlock(&fault_lock);
	return number;
}

/* The body of the answer to a request; differs for each id. */
static char *sound_body(const char *id)
{
	GString *body = g_string_new(NULL);

	while (body->len < BODY_BYTES)
		g_string_append_printf(body, "%s;", id);
	return g_string_free(body, FALSE);
}

/* A head up to its framing; ends with a line end. */
static char *signed_head(const char *id)
{
	return g_strdup_printf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
			       "Response-Signature: sig-%s\r\n",
			       id, id);
}

static char *framed_answer(const char *id)
{
	char *head = signed_head(id);
	char *body = sound_body(id);
	char *answer = g_strdup_printf("%sContent-Length: %zu\r\n\r\n%s", head,
				       strlen(body), body);

	g_free(body);
	g_free(head);
	return answer;
}

static char *chunked_answer(const char *id)
{
	char *head = signed_head(id);
	char *body = sound_body(id);
	char *answer = g_strdup_printf(
		"%sTransfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n0\r\n"
		"Not-Executed: 1\r\n\r\n",
		head, strlen(body), body);

	g_free(body);
	g_free(head);
	return answer;
}

/*
 * Puts another byte into a name or a line end of a head. The values stay as they
 * are, as a changed one could not be told from what the upstream meant.
 */
static void spoil_head(char *answer)
{
	static const char *const places[] = {"HTTP", "Attempt-Id",
					     "Response-Signature",
					     "Content-Length", "\r\n"};
	static const char bytes[] = "x \t:\r\n\x01\xff-";
	const char *name = places[draw(G_N_ELEMENTS(places))];
	char *at = strstr(answer, name) + draw((int)strlen(name));

	*at = bytes[draw(sizeof(bytes) - 1)];
}

/*
 * Writes an answer twice. The next request may come during the pause before a
 * late copy; it is read after the copy.
 */
static void send_twice(int fd, const char *answer, bool is_late)
{
	platform_send(fd, answer, strlen(answer));
	if (is_late)
		g_usleep((gulong)draw(COPY_DELAY_MAX_US));
	platform_send(fd, answer, strlen(answer));
}

/* Sends a part of an answer; the connection ends after it. */
static void send_cut(int fd, const char *answer, size_t size_bytes)
{
	platform_send(fd, answer, (size_t)draw((int)size_bytes));
}

/* Answers with a fault; returns false if the connection ends. */
static bool answer_with_fault(int fd, const char *id, fault_t fault)
{
	static const char refusal[] = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
				      "Content-Length: 0\r\n\r\n";
	static const char no_answer[] = "\x01 no answer\r\n\r\n";
	char *framed = framed_answer(id);
	char *chunked = chunked_answer(id);
	char *head = signed_head(id);

	if (fault == FAULT_CUT || fault == FAULT_RESET)
		send_cut(fd, framed, strlen(framed));
	else if (fault == FAULT_CUT_CHUNKS)
		send_cut(fd, chunked, strlen(chunked) - 1);
	else if (fault == FAULT_CUT_UNFRAMED_HEAD)
		send_cut(fd, head, strlen(head) + 1);
	else if (fault == FAULT_COPY || fault == FAULT_LATE_COPY)
		send_twice(fd, framed, fault == FAULT_LATE_COPY);
	else if (fault == FAULT_REFUSAL_COPY)
		send_twice(fd, refusal, true);
	if (fault == FAULT_SPOILT_HEAD) {
		spoil_head(framed);
		platform_send(fd, framed, strlen(framed));
	}
	if (fault == FAULT_EXTRA_BYTES) {
		platform_send(fd, framed, strlen(framed));
		platform_send(fd, no_answer, strlen(no_answer));
	}
	if (fault == FAULT_RESET)
		platform_reset_on_close(fd);
	g_free(head);
	g_free(chunked);
	g_free(framed);
	return fault >= FAULT_COPY;
}

static bool serve(platform_vm_t *vm, int fd, const char *head,
		  size_t body_size_bytes)
{
	char *id = platform_header(head, "Attempt-Id");
	fault_t fault = (fault_t)draw(FAULT_COUNT);
	bool is_sound = draw(100) < SOUND_PERCENT;
	bool keep_open = true;

	if (is_sound || fault != FAULT_REFUSAL_COPY)
		platform_record_execution(vm, head);
	if (is_sound) {
		char *answer = framed_answer(id);

		platform_send(fd, answer, strlen(answer));
		g_free(answer);
	} else {
		keep_open = answer_with_fault(fd, id, fault);
	}
	g_free(id);
	return keep_open;
}

/* Says what is wrong with an answer; NULL if nothing is. */
static const char *find_fault(platform_t *platform, const char *id,
			      bool is_once, const routes_answer_t *answer)
{
	char *line = g_strdup_printf("Attempt-Id: %s\r\n", id);
	char *signature = g_strconcat("sig-", id, NULL);
	char *body = sound_body(id);
	int runs = platform_count_executions(platform, line);
	const char *fault = NULL;

	if (!answer->is_whole)
		fault = "not whole";
	else if (!answer->attempt_id[0])
		fault = "without the id of a request";
	else if (strcmp(answer->attempt_id, id) != 0)
		fault = "of another request";
	else if (answer->status == 200 &&
		 strcmp(answer->signature, signature) != 0)
		fault = "a success without its signature";
	else if (answer->status == 200 && strcmp(answer->body, body) != 0)
		fault = "a success without its whole body";
	else if (answer->status != 200 && answer->signature[0])
		fault = "a failure with a signature";
	else if (answer->status == 503 && runs > 0)
		fault = "said not to have run, and it has";
	else if (is_once && runs > 1)
		fault = "run more than once";
	g_free(body);
	g_free(signature);
	g_free(line);
	return fault;
}

static gpointer run_caller(gpointer data)
{
	caller_t *caller = data;
	platform_t *platform = caller->platform;
	platform_vm_t *vm = &platform->vms[caller->number % platform->vm_count];
	int fd = platform_connect(vm);

	for (int i = 0; i < REQUESTS_PER_CALLER; i++) {
		bool is_once = i % 2;
		char *id = g_strdup_printf("c-%d-%d.", caller->number, i);
		routes_answer_t answer;

		routes_send(fd, is_once ? "POST" : "GET",
			    is_once ? "/once/a" : "/w/a", id);
		routes_read_answer(fd, &answer);
		const char *fault = find_fault(platform, id, is_once, &answer);

		if (fault) {
			g_atomic_int_inc(&wrong_answers);
			printf("%s: %ld, %s\n", id, answer.status, fault);
		}
		caller->successes += answer.status == 200;
		routes_answer_clear(&answer);
		g_free(id);
	}
	close(fd);
	return NULL;
}

static void run_seed(guint32 seed)
{
	platform_t *platform = routes_start(serve, NULL, services);
	caller_t callers[CALLERS];
	GThread *threads[CALLERS];
	int successes = 0;

	fault_random = g_rand_new_with_seed(seed);
	wrong_answers = 0;
	for (int i = 0; i < CALLERS; i++) {
		callers[i] = (caller_t){platform, i, 0};
		threads[i] = g_thread_new("caller", run_caller, &callers[i]);
	}
	for (int i = 0; i < CALLERS; i++) {
		g_thread_join(threads[i]);
		successes += callers[i].successes;
	}
	printf("seed %u: %d of %d served, %d wrong ", seed, successes,
	       CALLERS * REQUESTS_PER_CALLER, wrong_answers);
	CU_ASSERT_EQUAL(wrong_answers, 0);
	CU_ASSERT(successes > CALLERS * REQUESTS_PER_CALLER / SUCCESS_DIVISOR);
	routes_stop(platform);
	g_rand_free(fault_random);
}

/*
 * Guards against answers that are not the upstream's, not whole or another
 * request's reaching a caller, whatever a faulty upstream sends.
 */
static void test_callers_get_answers_of_their_own(void)
{
	static const guint32 seeds[] = {1, 2, 3};
	const char *seed = g_getenv("DWS_SEED");

	if (seed) {
		run_seed((guint32)strtoul(seed, NULL, 10));
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
		run_seed(seeds[i]);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"callers get answers of their own",
		 test_callers_get_answers_of_their_own},
		{NULL, NULL},
	};

	return suite_main("faulty upstreams", tests);
}
