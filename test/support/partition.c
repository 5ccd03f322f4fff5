/*
 * Packet loss between daemons. The test holds copies of a daemon's sockets
 * and gives them a filter that drops all packets, as a network partition
 * does; a relay can't take this place, since a daemon announces its own
 * address to its peers.
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

/* Tells whether a port is a frame or datagram listener of the site. */
static bool is_peer_port(const site_t *site, uint16_t port)
{
	for (guint i = 0; i < site->vms->len; i++) {
		const site_vm_t *vm = g_ptr_array_index(site->vms, i);

		if (port == vm->frame || port == vm->datagram)
			return true;
	}
	return false;
}

/* Tells whether a socket listens for, or is connected with, a peer. */
static bool is_peer_socket(const site_t *site, int fd)
{
	struct sockaddr_in near = {0}, far = {0};
	socklen_t near_size = sizeof(near), far_size = sizeof(far);

	if (getsockname(fd, (struct sockaddr *)&near, &near_size) != 0 ||
	    near.sin_family != AF_INET)
		return false;
	getpeername(fd, (struct sockaddr *)&far, &far_size);
	return is_peer_port(site, ntohs(near.sin_port)) ||
	       is_peer_port(site, ntohs(far.sin_port));
}

/* Acts on a copy of each socket that a daemon has towards peers. */
static void for_each_peer_socket(const site_vm_t *vm, socket_action_t action)
{
	char *path = g_strdup_printf("/proc/%d/fd", vm->daemon.pid);
	int process = (int)syscall(SYS_pidfd_open, vm->daemon.pid, 0);
	GDir *dir = g_dir_open(path, 0, NULL);
	int touched = 0;

	for (const char *name; dir && (name = g_dir_read_name(dir));) {
		int fd = (int)syscall(SYS_pidfd_getfd, process,
				      (int)strtol(name, NULL, 10), 0);

		if (fd >= 0 && is_peer_socket(vm->site, fd)) {
			action(fd);
			touched++;
		}
		if (fd >= 0)
			close(fd);
	}
	CU_ASSERT(touched >= 2);
	g_dir_close(dir);
	close(process);
	g_free(path);
}

static void drop_packets(int fd)
{
	struct sock_filter none[] = {{BPF_RET | BPF_K, 0, 0, 0}};
	struct sock_fprog program = {1, none};

	CU_ASSERT_EQUAL(setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
				   sizeof(program)),
			0);
}

/* Fails on sockets without a filter, which are as they should be. */
static void pass_packets(int fd)
{
	int unused = 0;

	(void)setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &unused,
			 sizeof(unused));
}

/* A listening socket can't be shut down without ending its daemon's service. */
static void break_stream(int fd)
{
	int listens = 1, type = SOCK_DGRAM;
	socklen_t size = sizeof(int);

	getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size);
	getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size);
	if (type == SOCK_STREAM && !listens)
		shutdown(fd, SHUT_RDWR);
}

/* Parts all daemons of a site from each other, or joins them again. */
void site_set_partition(site_t *site, bool parted)
{
	for (guint i = 0; i < site->vms->len; i++) {
		const site_vm_t *vm = g_ptr_array_index(site->vms, i);

		if (vm->daemon.pid > 0)
			for_each_peer_socket(vm, parted ? drop_packets
							: pass_packets);
	}
}

/* Breaks the streams of one daemon. */
void site_break_streams(site_vm_t *vm)
{
	for_each_peer_socket(vm, break_stream);
}
