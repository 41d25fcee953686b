/*
 * A library to be preloaded (LD_PRELOAD) into a process under test. It makes a share of the process's system calls fail
 * as Linux documents, without making them, or makes reads and writes short, and steps the wall clock.
 *
 * What is to fail stands in the file named by STOATRILL_CALL_FAULTS, which both sides map. It holds 64-bit words:
 * SLOT_WORDS for each call, in the order of enum call:
 *
 *   word 0      how many of 65,536 calls fail; for WALL_CLOCK the step in nanoseconds
 *   words 1-4   the errno values to choose from; 0 ends the list
 *   word 5      calls seen
 *   word 6      calls made to fail
 *
 * and behind the slots one word with the seed. STOATRILL_CALL_FAULTS_PATH, if set, keeps the faults of files to those
 * whose path contains it.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call {
    SOCKET_READ,
    SOCKET_WRITE,
    ACCEPT,
    SOCKET,
    CONNECT,
    REGISTER,
    SELECT,
    FILE_OPEN,
    FILE_READ,
    FILE_WRITE,
    SOCKET_OPTION,
    SHUTDOWN,
    SHORT_READ,
    SHORT_WRITE,
    THREAD,
    EVENT_READ,
    FINISH_CONNECT,
    CLOSE,
    WALL_CLOCK,
    CALLS
};

#define SLOT_WORDS 8
#define ERRNOS 4
#define MOST_DESCRIPTORS 65536

static _Atomic uint64_t *plan;
static const char *only_path;
static unsigned char named[MOST_DESCRIPTORS];
static _Atomic uint64_t threads;
static __thread uint64_t random_state;

#define NEXT(name) \
    static __typeof__(&name) next; \
    if (!next) next = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("STOATRILL_CALL_FAULTS");
    only_path = getenv("STOATRILL_CALL_FAULTS_PATH");
    if (!path) return;
    int (*real_open)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    int (*real_close)(int) = dlsym(RTLD_NEXT, "close");
    int fd = real_open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    size_t size = (CALLS * SLOT_WORDS + 1) * sizeof(uint64_t);
    void *map = mmap(NULL, size, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    real_close(fd);
    if (map != MAP_FAILED) plan = map;
}

static uint64_t random_bits(void) {
    if (!random_state) random_state = plan[CALLS * SLOT_WORDS] * 0x9e3779b97f4a7c15u + ++threads;
    uint64_t z = (random_state += 0x9e3779b97f4a7c15u);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

/* Whether this call is to fail; errno is then set. */
static int fails(enum call call) {
    if (!plan) return 0;
    _Atomic uint64_t *slot = plan + call * SLOT_WORDS;
    slot[5]++;
    uint64_t rate = slot[0];
    if (!rate || (random_bits() & 0xffff) >= rate) return 0;
    int known = 0;
    while (known < ERRNOS && slot[1 + known]) known++;
    slot[6]++;
    if (known) errno = (int)slot[1 + random_bits() % known];
    return 1;
}

static int kind(int fd) {
    struct stat st;
    int before = errno;
    int mode = fstat(fd, &st) ? 0 : (int)(st.st_mode & S_IFMT);
    errno = before;
    return mode;
}

static int file_counts(int fd) {
    return !only_path || (fd >= 0 && fd < MOST_DESCRIPTORS && named[fd]);
}

static size_t shortened(enum call call, size_t size) {
    return size > 1 && fails(call) ? 1 + random_bits() % (size - 1) : size;
}

/* Whether a read of this descriptor fails. */
static int read_fails(int fd) {
    if (!plan) return 0;
    switch (kind(fd)) {
        case S_IFSOCK: return fails(SOCKET_READ);
        case S_IFREG:
        case S_IFCHR: return file_counts(fd) && fails(FILE_READ);
        case 0: return fails(EVENT_READ);
        default: return 0;
    }
}

static int write_fails(int fd) {
    if (!plan) return 0;
    switch (kind(fd)) {
        case S_IFSOCK: return fails(SOCKET_WRITE);
        case S_IFREG: return file_counts(fd) && fails(FILE_WRITE);
        default: return 0;
    }
}

ssize_t read(int fd, void *into, size_t size) {
    NEXT(read);
    if (read_fails(fd)) return -1;
    if (plan && kind(fd) == S_IFSOCK) size = shortened(SHORT_READ, size);
    return next(fd, into, size);
}

ssize_t recv(int fd, void *into, size_t size, int flags) {
    NEXT(recv);
    if (read_fails(fd)) return -1;
    return next(fd, into, size, flags);
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    NEXT(readv);
    if (read_fails(fd)) return -1;
    return next(fd, parts, count);
}

ssize_t pread64(int fd, void *into, size_t size, off64_t at) {
    NEXT(pread64);
    if (read_fails(fd)) return -1;
    return next(fd, into, size, at);
}

ssize_t write(int fd, const void *from, size_t size) {
    NEXT(write);
    if (write_fails(fd)) return -1;
    if (plan && kind(fd) == S_IFSOCK) size = shortened(SHORT_WRITE, size);
    return next(fd, from, size);
}

ssize_t send(int fd, const void *from, size_t size, int flags) {
    NEXT(send);
    if (write_fails(fd)) return -1;
    return next(fd, from, size, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    NEXT(writev);
    if (write_fails(fd)) return -1;
    return next(fd, parts, count);
}

int accept(int fd, struct sockaddr *peer, socklen_t *length) {
    NEXT(accept);
    if (fails(ACCEPT)) return -1;
    return next(fd, peer, length);
}

int socket(int domain, int type, int protocol) {
    NEXT(socket);
    if (domain == AF_INET && fails(SOCKET)) return -1;
    return next(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *to, socklen_t length) {
    NEXT(connect);
    if (fails(CONNECT)) return -1;
    return next(fd, to, length);
}

int epoll_ctl(int epoll, int what, int fd, struct epoll_event *event) {
    NEXT(epoll_ctl);
    if (what != EPOLL_CTL_DEL && fails(REGISTER)) return -1;
    return next(epoll, what, fd, event);
}

int epoll_wait(int epoll, struct epoll_event *events, int most, int millis) {
    NEXT(epoll_wait);
    if (fails(SELECT)) return -1;
    return next(epoll, events, most, millis);
}

static void opened(int fd, const char *path) {
    if (fd >= 0 && fd < MOST_DESCRIPTORS) named[fd] = only_path && strstr(path, only_path);
}

/* Says in the process's log which file could not be opened. */
static void say_unopened(const char *path) {
    static const char before[] = "failing_calls: not opened: ";
    int error = errno;
    syscall(SYS_write, 2, before, sizeof before - 1);
    syscall(SYS_write, 2, path, strlen(path));
    syscall(SYS_write, 2, "\n", 1);
    errno = error;
}

static int open_fails(const char *path) {
    if ((only_path && !strstr(path, only_path)) || !fails(FILE_OPEN)) return 0;
    say_unopened(path);
    return 1;
}

int open(const char *path, int flags, ...) {
    NEXT(open);
    va_list rest;
    va_start(rest, flags);
    int mode = va_arg(rest, int);
    va_end(rest);
    if (open_fails(path)) return -1;
    int fd = next(path, flags, mode);
    opened(fd, path);
    return fd;
}

int open64(const char *path, int flags, ...) {
    NEXT(open64);
    va_list rest;
    va_start(rest, flags);
    int mode = va_arg(rest, int);
    va_end(rest);
    if (open_fails(path)) return -1;
    int fd = next(path, flags, mode);
    opened(fd, path);
    return fd;
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length) {
    NEXT(setsockopt);
    if (fails(SOCKET_OPTION)) return -1;
    return next(fd, level, name, value, length);
}

int shutdown(int fd, int how) {
    NEXT(shutdown);
    if (fails(SHUTDOWN)) return -1;
    return next(fd, how);
}

int poll(struct pollfd *watched, nfds_t count, int millis) {
    NEXT(poll);
    if (millis == 0 && fails(FINISH_CONNECT)) return -1;
    return next(watched, count, millis);
}

/* Linux frees the descriptor whatever close returns. */
int close(int fd) {
    NEXT(close);
    int socket = plan && kind(fd) == S_IFSOCK;
    int result = next(fd);
    return socket && fails(CLOSE) ? -1 : result;
}

int pthread_create(pthread_t *thread, const pthread_attr_t *with, void *(*start)(void *), void *argument) {
    NEXT(pthread_create);
    if (fails(THREAD)) return EAGAIN;
    return next(thread, with, start, argument);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    NEXT(clock_gettime);
    int result = next(clock, time);
    if (clock == CLOCK_REALTIME && plan) {
        int64_t step = (int64_t)plan[WALL_CLOCK * SLOT_WORDS];
        int64_t all = time->tv_sec * 1000000000LL + time->tv_nsec + step;
        time->tv_sec = all / 1000000000LL;
        time->tv_nsec = all % 1000000000LL;
    }
    return result;
}
