/*
 * The descriptors that the process may have.
 */
#include <sys/resource.h>
#include "process/descriptors_io.h"

/* Where the system sets no limit on open files. */
#define DEFAULT_MAX (1024 * 1024)
/* Share of the descriptors that clients don't get. */
#define KEPT_DIVISOR 4

void dws_descriptors_init(dws_descriptors_t *descriptors)
{
	struct rlimit limit;

	descriptors->max = DEFAULT_MAX;
	if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
	    limit.rlim_cur < DEFAULT_MAX)
		descriptors->max = (uint32_t)limit.rlim_cur;
	descriptors->clients_max =
		descriptors->max - descriptors->max / KEPT_DIVISOR;
}

bool dws_descriptors_is_kept(const dws_descriptors_t *descriptors, int fd)
{
	return (uint32_t)fd >= descriptors->clients_max;
}
