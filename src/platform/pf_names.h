#ifndef PLATFORM_PF_NAMES_H
#define PLATFORM_PF_NAMES_H

/// Names that callers, backend servers, operators and the cloud use on HTTP.

#define PF_REQUEST_ID "X-Acaciahinge-Request-Id"
/// Milliseconds that the sender will still wait.
#define PF_DEADLINE "X-Acaciahinge-Deadline-Ms"
#define PF_MODEL "X-Acaciahinge-Model"
/// Prompt tokens and most output tokens.
#define PF_TOKENS "X-Acaciahinge-Token-Counts"
#define PF_PROMPT "X-Acaciahinge-Prompt-Prefix"
#define PF_LENGTH_HINT "X-Acaciahinge-Length-Hint"
#define PF_LAST_EVENT "Last-Event-Id"
#define PF_CUSTOMER "X-Acaciahinge-Tenant"
/// Id of the incarnation that a request is meant for.
#define PF_EXPECT_SERVER "X-Acaciahinge-Expect-Instance"
#define PF_EXPECT_WEIGHTS "X-Acaciahinge-Expect-Version"
#define PF_PRIORITY "X-Acaciahinge-Request-Priority"
#define PF_HOLD "X-Acaciahinge-Hold"
#define PF_PIN "X-Acaciahinge-Pin-Ms"
#define PF_BACKUP "X-Acaciahinge-Kv-Backup"
#define PF_KV_FROM "Kv-From"
#define PF_KV_FETCH "Kv-Fetch"
/// Proof that a backend server made the answer.
#define PF_STAMP "X-Acaciahinge-Server-Stamp"
#define PF_NOT_RUN "X-Acaciahinge-Not-Run"
#define PF_LOAD "X-Acaciahinge-Server-Load"
#define PF_HOLDER "X-Acaciahinge-Duty-Holder"
#define PF_FENCE "X-Acaciahinge-Fence-Token"

#define PF_READY_PATH "/api/readiness"
#define PF_CONFIG_PATH "/api/config"
#define PF_ROLLOUTS_PATH "/api/rollouts"
#define PF_REPORT_PATH "/api/report"
#define PF_LIST_PATH "/instances"
#define PF_USAGE_PATH "/usage"
#define PF_SCALE_PATH "/scale"

#endif
