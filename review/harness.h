/*
 * Stand-ins for the scripts of the second review: the platform's store, sound
 * upstreams, and consumers that call daemons over the routed listener. Starts
 * the daemons with the command of deploy/system.toml and with settings rendered
 * from deploy/settings.yaml. Each VM has a loopback address of its own; ports
 * are the same on all VMs of a run.
 *
 * The program must run in the root of the repository.
 */
#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define VM_MAX 32
#define ID_SIZE 64
#define HEAD_SIZE 8192

/* Exit status of a case. */
#define RULE_HELD 0
#define RULE_BROKEN 1
#define CASE_NOT_RUN 2

typedef struct vm {
	int number; /* from 0 */
	char ip[48];
	char store_ip[48]; /* the store's address for this VM alone */
	char zone[32];
	char service[32];
	char upstream_id[ID_SIZE];
	char settings[256];
	char log[256];
	int memory_mb;
	volatile pid_t daemon; /* 0 if none runs */
	volatile bool is_cut; /* the store is silent towards this VM */
	volatile int64_t last_read_ms; /* last call of this VM to the store */
	volatile int memory_kills; /* by the platform, over memory_mb */
	volatile long peak_mb;
} vm_t;

/* A request that an upstream has received, without its body. */
typedef struct upstream_request {
	vm_t *vm;
	int fd;
	char method[16];
	char path[1024];
	char attempt[ID_SIZE];
	size_t body_bytes;
	/* Start of the body, received with the head. */
	char buffered[HEAD_SIZE];
	size_t buffered_bytes;
} upstream_request_t;

/* Serves a request; false to close the connection. */
typedef bool (*upstream_serve_t)(upstream_request_t *request);

/* A consumer's connection to the routed listener of a VM. */
typedef struct consumer {
	vm_t *vm;
	int fd; /* -1 if closed */
	int requests; /* sent on this connection */
	char buffer[HEAD_SIZE];
	size_t buffered_bytes;
} consumer_t;

extern vm_t vms[VM_MAX];
extern int vm_count;

/*
 * Prepares a run; the record goes to record.txt in the folder of the case.
 * Processes and temporary files are removed by harness_end().
 */
void harness_start(const char *case_dir);
/* Stops all daemons, removes the temporary folder and exits. */
void harness_end(int status) __attribute__((noreturn));
/* False if TROUBLE=0 is set: the case runs without its disruption. */
bool harness_has_trouble(void);
int64_t now_ms(void);
void sleep_ms(int64_t time_ms);
/* Writes a line with the time since the start to the record. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Adds a VM with an upstream that is registered in the store. */
vm_t *add_vm(const char *zone, const char *service, upstream_serve_t serve);
void start_daemon(vm_t *vm);
/* Starts all daemons and waits until all are ready; ends the run if not. */
void start_daemons(void);
/*
 * Starts a thread that does what the platform does with processes: it kills
 * one that exceeds the memory of its VM, and starts an ended one again.
 */
void watch_processes(void);

/* Writes an item of the store; returns the time of its acknowledgement. */
int64_t store_put(const char *key, const char *json);
/* One rule of a configuration, as JSON. Returns a static buffer. */
const char *route_json(const char *name, const char *host, const char *prefix,
		       const char *kind, const char *service,
		       const char *timeout);
/* Publishes a configuration; routes is a list of listeners, as JSON. */
int64_t put_config(int version, const char *idle_timeout, const char *routes);

/* Reads the body, as fast as it comes if bytes_per_s is 0. */
bool upstream_read_body(upstream_request_t *request, size_t bytes_per_s);
/* Answers with 200, the signature and a body of this size. */
bool upstream_answer(const upstream_request_t *request, size_t body_bytes);
/* Notes that an upstream runs a request. */
void note_run(const upstream_request_t *request);
/* The VM whose upstream has run a request; NULL if none. */
vm_t *find_run(const char *attempt);

/* Returns a new id of an attempt in a buffer of ID_SIZE bytes. */
void new_attempt_id(char *id);
/* Connects; false on failure. receive_bytes limits the window, 0: default. */
bool consumer_connect(consumer_t *consumer, vm_t *vm, int receive_bytes);
void consumer_close(consumer_t *consumer);
/* Sends a request with a body of body_bytes; false if the connection fails. */
bool consumer_send(consumer_t *consumer, const char *method, const char *host,
		   const char *path, const char *attempt, int deadline_ms,
		   size_t body_bytes);
/*
 * Reads the head of the answer; returns its status, or 0 if the connection
 * ended before. length_bytes gets its Content-Length.
 */
int consumer_read_head(consumer_t *consumer, size_t *length_bytes);
/* Reads the body, at most bytes_per_s, 0: at full speed; the bytes read. */
size_t consumer_read_body(consumer_t *consumer, size_t length_bytes,
			  size_t bytes_per_s);
/* Starts a detached thread; ends the run if that fails. */
void start_thread(void *(*function)(void *), void *argument);

#endif
