#ifndef PLATFORM_API_NAMES_H
#define PLATFORM_API_NAMES_H

/// Names that callers, backend servers, operators and the cloud use on HTTP.

#define API_HDR_REQUEST_ID "X-Acaciahinge-Request-Id"
/// Milliseconds that the sender still waits for the response.
#define API_HDR_DEADLINE "X-Acaciahinge-Deadline-Ms"
#define API_HDR_MODEL "X-Acaciahinge-Model"
/// "P,O": number of prompt tokens, most output tokens.
#define API_HDR_TOKENS "X-Acaciahinge-Token-Counts"
/// "ID:TOKENS,...": parts of the prompt, ids in hexadecimal.
#define API_HDR_PROMPT_PREFIX "X-Acaciahinge-Prompt-Prefix"
/// Caller's estimate of the number of output tokens.
#define API_HDR_LENGTH_HINT "X-Acaciahinge-Length-Hint"
#define API_HDR_LAST_EVENT "Last-Event-Id"
#define API_HDR_CUSTOMER "X-Acaciahinge-Tenant"
/// Id of the backend server instance that a request is meant for.
#define API_HDR_EXPECT_INSTANCE "X-Acaciahinge-Expect-Instance"
#define API_HDR_EXPECT_VERSION "X-Acaciahinge-Expect-Version"
#define API_HDR_PRIORITY "X-Acaciahinge-Request-Priority"
#define API_HDR_HOLD "X-Acaciahinge-Hold"
#define API_HDR_PIN "X-Acaciahinge-Pin-Ms"
#define API_HDR_KV_BACKUP "X-Acaciahinge-Kv-Backup"
#define API_HDR_KV_FROM "Kv-From"
#define API_HDR_KV_FETCH "Kv-Fetch"
/// The backend server's id, in responses to requests for its health.
#define API_HDR_INSTANCE_ID "X-Acaciahinge-Instance-Id"
/// Present in each response that a backend server itself produced.
#define API_HDR_SERVER_STAMP "X-Acaciahinge-Server-Stamp"
/// Present when the backend server didn't run the request.
#define API_HDR_NOT_RUN "X-Acaciahinge-Not-Run"
/// Milliseconds for which the backend server is still cold, in responses to
/// requests for its health.
#define API_HDR_COLD "X-Acaciahinge-Cold-Ms"
/// "RUNNING,WAITING,SLOTS": requests at the backend server and its slots. Some
/// add ",PACE": how long work takes there now, in percent of the usual time.
#define API_HDR_SERVER_LOAD "X-Acaciahinge-Server-Load"
/// Requests per second that the backend server takes from all senders together,
/// a decimal number.
#define API_HDR_SERVER_LIMIT "Server-Limit"
/// "1": the backend server leaves.
#define API_HDR_SERVER_LEAVING "Server-Leaving"
/// Requests that the backend server may have to refuse in a second for want of
/// room; with more it fails. Absent if it isn't brittle.
#define API_HDR_SERVER_BRITTLE "Server-Brittle"
#define API_HDR_DUTY_HOLDER "X-Acaciahinge-Duty-Holder"
/// Fencing number of the duty.
#define API_HDR_FENCE "X-Acaciahinge-Fence-Token"

/// In an attempt that one gateway sends through another: API_RELAY_PLAIN etc.
#define API_HDR_RELAY "X-Acaciahinge-Relay"
#define API_RELAY_PLAIN "plain"
#define API_RELAY_STREAM "stream"
/// The server gets it over a new connection.
#define API_RELAY_PLAIN_ONCE "plain-once"
#define API_RELAY_STREAM_ONCE "stream-once"
/// In the response of a gateway that didn't send it to the server: why.
#define API_HDR_RELAY_REFUSED "X-Acaciahinge-Relay-Refused"
#define API_RELAY_GATEWAY "gateway" ///< it can't send anything there now
#define API_RELAY_CLOSED "closed"   ///< the server takes nothing
#define API_RELAY_LOST "lost"       ///< it doesn't reach the server
/// In a passed-on response that ended with the server's connection.
#define API_HDR_RELAY_UNFRAMED "X-Acaciahinge-Relay-Unframed"

#define API_PATH_READY "/api/readiness"
#define API_PATH_CONFIG "/api/config"
#define API_PATH_ROLLOUTS "/api/rollouts"
#define API_PATH_EVACUATIONS "/api/evacuations"
#define API_PATH_REPORT "/api/report"
#define API_PATH_INSTANCES "/instances"
#define API_PATH_USAGE "/usage"
#define API_PATH_SCALE "/scale"

#endif
