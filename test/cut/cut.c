// Preloaded into a process to partition it from some hosts: connections to the
// addresses in the file $CUT_FILE are never established.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef int (*connect_fn)(int, const struct sockaddr *, socklen_t);

static connect_fn
real_connect(void)
{
	static connect_fn fn;

	if (fn == NULL)
		*(void **)&fn = dlsym(RTLD_NEXT, "connect");
	return fn;
}

/// Whether the file of cut hosts has an address.
static bool
is_cut(const struct sockaddr_in *to)
{
	const char *file = getenv("CUT_FILE");
	const int fd = file != NULL ? open(file, O_RDONLY | O_CLOEXEC) : -1;
	char host[INET_ADDRSTRLEN + 1] = { 0 };
	char text[1024];
	ssize_t n;

	if (fd < 0)
		return false;
	n = read(fd, text, sizeof(text) - 1);
	(void)close(fd);
	if (n <= 0 ||
	    inet_ntop(AF_INET, &to->sin_addr, host, INET_ADDRSTRLEN) == NULL)
		return false;
	text[n] = '\0';
	// Each address in the file is followed by a space.
	host[strlen(host)] = ' ';
	return strstr(text, host) != NULL;
}

/// An address where connections wait for ever: its queue is full.
static const struct sockaddr_in *
black_hole(void)
{
	static struct sockaddr_in at = { .sin_family = AF_INET };
	static bool is_made;
	socklen_t len = sizeof(at);

	if (is_made)
		return &at;
	is_made = true;
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	(void)bind(fd, (struct sockaddr *)&at, sizeof(at));
	(void)listen(fd, 0);
	(void)getsockname(fd, (struct sockaddr *)&at, &len);
	for (int i = 0; i < 2; i++) {
		const int filler = socket(
		    AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

		(void)real_connect()(
		    filler, (struct sockaddr *)&at, sizeof(at));
	}
	return &at;
}

int
connect(int fd, const struct sockaddr *to, socklen_t len)
{
	if (to->sa_family == AF_INET &&
	    is_cut((const struct sockaddr_in *)(const void *)to))
		to = (const struct sockaddr *)(const void *)black_hole();
	return real_connect()(fd, to, len);
}
