/*
 * Packet loss between daemons. The test duplicates a daemon's sockets and
 * attaches a BPF filter that drops all packets, as in a network partition. A
 * relay cannot do this, since a daemon announces its own address to its peers.
 */
#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <linux/filter.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "support/site.h"

typedef void (*socket_action_t)(int fd);

/* True if a port belongs to a frame or datagram listener of the site. */
static bool is_peer_port(const site_t *site, uint16_t port)
{
	for (guint i = 0; i < site->vms->len; i++) {
		const site_vm_t *vm = g_ptr_array_index(site->vms, i);

		if (port == vm->frame || port == vm->datagram)
			return true;
	}
	return false;
}

/* True if a socket listens for peers or is connected to one. */
static bool is_peer_socket(const site_t *site, int fd)
{
	struct sockaddr_in local = {0}, remote = {0};
	socklen_t local_size = sizeof(local), remote_size = sizeof(remote);

	if (getsockname(fd, (struct sockaddr *)&local, &local_size) != 0 ||
	    local.sin_family != AF_INET)
		return false;
	getpeername(fd, (struct sockaddr *)&remote, &remote_size);
	return is_peer_port(site, ntohs(local.sin_port)) ||
	       is_peer_port(site, ntohs(remote.sin_port));
}

/* Applies an action to a duplicate of each peer socket of a daemon. */
static void for_each_peer_socket(const site_vm_t *vm, socket_action_t action)
{
	char *path = g_strdup_printf("/proc/%d/fd", vm->daemon.pid);
	int pidfd = (int)syscall(SYS_pidfd_open, vm->daemon.pid, 0);
	GDir *dir = g_dir_open(path, 0, NULL);
	int action_count = 0;

	for (const char *name; dir && (name = g_dir_read_name(dir));) {
		int fd = (int)syscall(SYS_pidfd_getfd, pidfd,
				      (int)strtol(name, NULL, 10), 0);

		if (fd >= 0 && is_peer_socket(vm->site, fd)) {
			action(fd);
			action_count++;
		}
		if (fd >= 0)
			close(fd);
	}
	CU_ASSERT(action_count >= 2);
	g_dir_close(dir);
	close(pidfd);
	g_free(path);
}

static void drop_packets(int fd)
{
	struct sock_filter drop_all[] = {{BPF_RET | BPF_K, 0, 0, 0}};
	struct sock_fprog program = {1, drop_all};

	CU_ASSERT_EQUAL(setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
				   sizeof(program)),
			0);
}

/* Detaching fails on sockets without a filter, which need no change. */
static void pass_packets(int fd)
{
	int unused = 0;

	(void)setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &unused,
			 sizeof(unused));
}

/* Skips listening sockets, whose shutdown would stop the daemon's service. */
static void break_stream(int fd)
{
	int is_listening = 1, type = SOCK_DGRAM;
	socklen_t size = sizeof(int);

	getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size);
	getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &is_listening, &size);
	if (type == SOCK_STREAM && !is_listening)
		shutdown(fd, SHUT_RDWR);
}

/* Partitions all daemons of a site from each other, or ends the partition. */
void site_set_partition(site_t *site, bool partitioned)
{
	for (guint i = 0; i < site->vms->len; i++) {
		const site_vm_t *vm = g_ptr_array_index(site->vms, i);

		if (vm->daemon.pid > 0)
			for_each_peer_socket(vm, partitioned ? drop_packets
							     : pass_packets);
	}
}

/* Shuts down the stream connections of a daemon. */
void site_close_streams(site_vm_t *vm)
{
	for_each_peer_socket(vm, break_stream);
}
