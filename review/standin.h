/*
 * A small deployment on loopback for the cases of the review: a stand-in of the
 * platform's store, one upstream beside each daemon, and callers. Each VM has
 * an IP address of its own; the port numbers are the same on all VMs. Each
 * connection is served by a thread of its own.
 */
#ifndef DWS_REVIEW_STANDIN_H
#define DWS_REVIEW_STANDIN_H

#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define VMS_MAX 8
#define ITEMS_MAX 256
#define CONNECTIONS_MAX 1024
#define HEAD_MAX_BYTES 16384
#define EXIT_HELD 0
#define EXIT_BROKEN 1
#define EXIT_NOT_RUN 2

typedef struct vm vm_t;

/* A request as an upstream has read it. */
typedef struct upstream_request {
	vm_t *vm;
	int fd;
	char head[HEAD_MAX_BYTES];
	char method[16];
	char path[512];
	char attempt_id[256];
	char target_instance[128];
	char caller_service[128];
	int64_t deadline_ms; /* -1: none */
	size_t body_bytes; /* read and discarded, unless reads_body is false */
} upstream_request_t;

/* Answers a request; false closes the connection. */
typedef bool (*upstream_handler_t)(upstream_request_t *request);

struct vm {
	int number;
	char ip[64];
	char service[32];
	char zone[32];
	char upstream_id[64];
	pid_t pid; /* of the daemon; 0 if it does not run */
	upstream_handler_t handler;
	bool leaves_body; /* the handler reads the body by itself */
	int listener; /* of the upstream; -1 once it has exited */
	int connections[CONNECTIONS_MAX]; /* of the upstream; 0: free */
};

typedef struct store_item {
	char key[256]; /* as it stands in JSON, without quotes */
	char *value; /* NULL: removed */
	uint64_t revision;
	uint64_t created;
} store_item_t;

typedef struct site {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	char dir[128];
	char base_ip[32]; /* the first three numbers of all addresses */
	vm_t vms[VMS_MAX];
	int vm_count;
	uint16_t store_port, upstream_port, routed_port, ready_port, frame_port;
	store_item_t items[ITEMS_MAX]; /* latest change of each key */
	int item_count;
	uint64_t revision;
	int store_reads;
	int range_reads; /* of them, reads of pages */
	int memory_mb;
	bool has_trouble; /* TROUBLE is not 0 */
	bool is_stopping;
	uint64_t next_id;
} site_t;

/* An answer as a caller has received it. */
typedef struct answer {
	int status; /* 0: none, or none that is whole */
	bool is_whole; /* framed, and received up to its end */
	bool has_signature;
	char signature[128];
	char attempt_id[256];
	double retry_after_s; /* -1: none */
	bool closes; /* the connection can't be used again */
	size_t body_bytes;
	char body[65536]; /* its first bytes, NUL-terminated */
	char head[HEAD_MAX_BYTES];
} answer_t;

extern site_t site;

int64_t now_ms(void);
void sleep_ms(int64_t time_ms);
/* Appends a line with the time to record.txt. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Starts the store; folder is where record.txt is written. */
void site_start(const char *folder);
/* Adds a VM, starts its upstream and writes its entry to the store. */
vm_t *site_add(const char *service, const char *zone,
	       upstream_handler_t handler);
/* Ends a VM's upstream: closes its listener and all its connections. */
void vm_exit_upstream(vm_t *vm);
/* Writes the entry of a VM's upstream with a state. */
void site_put_entry(const vm_t *vm, const char *state);
/* Writes or, if value is NULL, removes an item of the store. */
void store_put(const char *key, const char *value);
/* Starts the daemon of a VM with the command of the deploy file. */
void vm_start_daemon(vm_t *vm);
void vm_signal(const vm_t *vm, int signal_number);
/* Kills a daemon and waits for it. */
void vm_kill(vm_t *vm);
/* True if the daemon has ended by itself; it is reaped then. */
bool vm_has_ended(vm_t *vm, int *status);
/* Waits until all daemons answer the readiness question with 200. */
bool site_await_ready(int64_t timeout_ms);
bool vm_is_ready(const vm_t *vm);
/* Peak and current resident memory of a daemon; 0 if unknown. */
size_t vm_memory_kib(const vm_t *vm, const char *field);
/* Kills all daemons, removes the folder and exits. */
void site_exit(int status) __attribute__((noreturn));

int listen_on(const char *ip, uint16_t port);
/* Connects within 1 s; -1 on failure. receive_bytes 0: the default. */
int connect_to(const char *ip, uint16_t port, int receive_bytes);
bool send_all(int fd, const void *data, size_t size_bytes);
/* Reads a head; false if the connection ends first. */
bool read_head(int fd, char *head, size_t size);
bool find_header(const char *head, const char *name, char *value, size_t size);
/* Reads an answer until timeout_ms. */
void read_answer(int fd, answer_t *answer, int64_t timeout_ms);
/* Sends a request on a connection; extra: further header lines, or "". */
bool send_request(int fd, const char *method, const char *path, const char *id,
		  int64_t deadline_ms, const char *extra, const char *body,
		  size_t body_bytes);
/* Writes a new attempt id. */
void new_id(char *id, size_t size);
/* Closes a connection with a reset. */
void reset_connection(int fd);
/* Sends the answer of a sound upstream. */
bool send_sound_answer(const upstream_request_t *request, size_t body_bytes);
/* The signature and the body of a sound answer. */
void sound_signature(const char *id, char *text, size_t size);
char sound_byte(const char *id, size_t at);
/* Runs a function in a thread of its own. */
pthread_t run_thread(void *(*function)(void *), void *data);

#endif
