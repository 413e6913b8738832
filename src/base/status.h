#ifndef BASE_STATUS_H
#define BASE_STATUS_H

/// Status of an operation that can fail. The text of the last failure is
/// kept beside it, see status_last().
enum status {
	STATUS_OK,
	STATUS_INVALID,     ///< The input breaks a stated rule.
	STATUS_CONFLICT,    ///< Another accepted value stands in the way.
	STATUS_NOT_FOUND,   ///< No such thing.
	STATUS_IO,          ///< A system call on a file or socket failed.
	STATUS_CORRUPT,     ///< Stored or received bytes fail their check.
	STATUS_FULL,        ///< A stated size would be exceeded, or disk full.
	STATUS_TIMEOUT,     ///< The time allowed ran out; outcome unknown.
	STATUS_UNAVAILABLE, ///< Not possible at the moment; nothing was done.
	STATUS_REFUSED,     ///< Declined by policy or authorisation.
	STATUS_INTERNAL,    ///< A fault of the program.
};

enum status status_fail(enum status code, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
const char *status_last(void);
const char *status_name(enum status code);

#endif
