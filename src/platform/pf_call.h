#ifndef PLATFORM_PF_CALL_H
#define PLATFORM_PF_CALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "back/httpc.h"
#include "front/httpd.h"

/// What the heads of callers' requests and of backend servers' answers say.

#define PF_ID_BYTES 128
#define PF_HOST_BYTES 256
#define PF_KEY_BYTES 256
#define PF_EVENT_ID_BYTES 32
#define PF_MAX_PARTS 16

/// A part of a prompt; requests that begin with the same parts share them.
struct pf_part {
	uint64_t id;
	uint32_t tokens;
};

/// Head of a caller's request.
struct pf_call {
	char id[PF_ID_BYTES];     ///< "": the caller gave none
	char host[PF_HOST_BYTES]; ///< lower case, without a port
	bool has_key;
	char key[PF_KEY_BYTES];
	bool has_deadline;
	uint32_t deadline_ms; ///< the caller waits so long
	bool has_tokens;
	uint32_t prompt_tokens;
	uint32_t output_tokens; ///< at most
	uint32_t length_hint;   ///< caller's guess of the output; 0: none
	bool resumes;
	uint64_t last_event; ///< the caller has all up to this one
	uint32_t n_parts;
	struct pf_part parts[PF_MAX_PARTS];
	bool bad; ///< a field can't be read
};

/// Head of a backend server's answer.
struct pf_answer {
	char id[PF_ID_BYTES]; ///< request that it belongs to; "": not said
	bool stamped;         ///< the server vouches for it
	bool not_run;         ///< the server didn't run the request
	bool encoded;         ///< not the bytes that a server sends
	bool has_load;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t retry_after_ms; ///< 0: none
};

/// Headers to be sent on, with the strings they point to.
struct pf_headers;

void pf_call_read(struct httpd *f, handle_t handle, struct pf_call *out);
void pf_answer_read(struct httpc *c, handle_t handle, struct pf_answer *out);

struct pf_headers *pf_headers_of_request(
    struct httpd *f, handle_t handle, bool drop_key);
struct pf_headers *pf_headers_of_answer(struct httpc *c, handle_t handle);
void pf_headers_add(struct pf_headers *h, const char *name, const char *value);
void pf_headers_addf(struct pf_headers *h, const char *name, const char *fmt,
    ...) __attribute__((format(printf, 3, 4)));
void pf_headers_cut(struct pf_headers *h, size_t n);
size_t pf_headers_count(const struct pf_headers *h);
const struct httpc_header *pf_headers_all(const struct pf_headers *h);
const char *pf_headers_find(const struct pf_headers *h, const char *name);
void pf_headers_free(struct pf_headers *h);

#endif
