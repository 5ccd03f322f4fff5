/*
 * Synchronisation of the configuration and the VM list. The readers of each
 * zone read them from the platform; all processes pull them from peers.
 */
#ifndef DWS_VERSION_SYNC_H
#define DWS_VERSION_SYNC_H

#include "process/node_internal.h"

/* Starts the platform reads and peer pulls that are due. */
void dws_sync_tick(dws_node_t *node);
/* Time of the next dws_sync_tick(); DWS_NEVER_US if nothing is planned. */
int64_t dws_sync_due_us(const dws_node_t *node);
/*
 * Updates the configuration sequence and VM list revision that this process
 * advertises in its membership datagrams.
 */
void dws_sync_set_versions(dws_node_t *node);
/*
 * Compares the document versions that a peer advertises with the local ones,
 * and pulls the newer ones from it.
 */
void dws_sync_on_versions(dws_node_t *node, const char *vm_id,
			  const dws_address_t *frame,
			  const dws_document_versions_t *advertised);
/*
 * Handles the result of a platform read. ok is false if the read failed; text
 * is NULL if nothing has changed.
 */
void dws_sync_on_platform_read_finished(dws_node_t *node,
					dws_platform_item_t item, bool ok,
					const char *text, size_t size_bytes);
/* Sends a peer what is newer than its version; nothing if there is none. */
void dws_sync_on_pull(dws_node_t *node, const dws_origin_t *from,
		      const Dws__Pull *request);
/* Handles a document sent by a peer in answer to a pull. */
void dws_sync_on_document(dws_node_t *node, const dws_origin_t *from,
			  const Dws__Document *document);

#endif
