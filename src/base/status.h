#ifndef BASE_STATUS_H
#define BASE_STATUS_H

/// Result of an operation that can fail. The message of the last failure is
/// kept separately, see status_last().
enum status {
	STATUS_OK,
	STATUS_INVALID,     ///< The input violates a documented rule.
	STATUS_CONFLICT,    ///< Contradicts a value accepted earlier.
	STATUS_NOT_FOUND,   ///< The named object does not exist.
	STATUS_IO,          ///< A system call on a file or socket failed.
	STATUS_CORRUPT,     ///< Stored or received bytes are invalid.
	STATUS_FULL,        ///< A size limit would be exceeded, or disk full.
	STATUS_TIMEOUT,     ///< The deadline passed; the outcome is unknown.
	STATUS_UNAVAILABLE, ///< Not possible at the moment; nothing was done.
	STATUS_REFUSED,     ///< Rejected by policy or authorisation.
	STATUS_INTERNAL,    ///< A bug in the program.
};

enum status status_fail(enum status code, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
const char *status_last(void);
const char *status_name(enum status code);

#endif
