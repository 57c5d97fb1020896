/* Makes system calls of one process fail, come short, or tell another wall time, as a control page says.
 *
 * Loaded with LD_PRELOAD. The control page is a file that the test maps too (see shim.py, which knows the same layout);
 * without SALTMOOR_SHIM in the environment every call goes through untouched. Chance is drawn from the page's seed and
 * the number of the call, so that one sequence of calls fails in one way.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

enum { ACCEPT, SOCKET, CONNECT, SEND, RECV, WAIT, WRITE, SYNC, RENAME, OPEN, CALLS };
#define ERRORS 4

struct rule {
    uint32_t share;         /* of 65536 calls so many are struck */
    uint32_t short_bytes;   /* a struck read or write moves so many bytes at most; 0: it fails */
    int32_t errors[ERRORS]; /* one of them is drawn; 0: none */
    uint64_t calls, struck; /* counted */
};

struct page {
    uint64_t seed;
    int64_t wall_ns;     /* added to the wall clock */
    uint64_t disk_steps; /* counted: writes, syncs, renames, opens for writing of files */
    uint64_t kill_step;  /* the process is killed at this one; 0: never */
    uint64_t kill_bytes; /* where that one is a write: so many bytes are written first */
    struct rule rules[CALLS];
};

static struct page *page;

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("SALTMOOR_SHIM");
    int (*real_open)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    int file = path ? real_open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0) return;
    void *got = mmap(NULL, sizeof(struct page), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (got != MAP_FAILED) page = got;
}

static uint64_t mixed(uint64_t x) {
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

/* 0: goes through; an errno: fails; -1: comes short by `*bytes`. */
static int struck(int call, size_t *bytes) {
    if (!page) return 0;
    struct rule *rule = &page->rules[call];
    uint64_t number = __atomic_add_fetch(&rule->calls, 1, __ATOMIC_RELAXED);
    uint32_t share = __atomic_load_n(&rule->share, __ATOMIC_ACQUIRE);
    if (!share) return 0;
    uint64_t drawn = mixed(page->seed + 0x9e3779b97f4a7c15ULL * (number * CALLS + call));
    if ((drawn & 0xffff) >= share) return 0;
    __atomic_add_fetch(&rule->struck, 1, __ATOMIC_RELAXED);
    if (rule->short_bytes && bytes) {
        if (*bytes > rule->short_bytes) *bytes = 1 + (drawn >> 16) % rule->short_bytes;
        return -1;
    }
    int known = 0;
    while (known < ERRORS && rule->errors[known]) known++;
    return known ? rule->errors[(drawn >> 32) % known] : 0;
}

static int is_internet(int fd) {
    int domain = 0;
    socklen_t size = sizeof domain;
    return !getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) && (domain == AF_INET || domain == AF_INET6);
}

static int is_file(int fd) {
    struct stat held;
    return !fstat(fd, &held) && S_ISREG(held.st_mode);
}

/* One step of a file's way to the disk; the process may be killed here. True: before a write of `kill_bytes`. */
static int disk_step(void) {
    if (!page) return 0;
    uint64_t step = __atomic_add_fetch(&page->disk_steps, 1, __ATOMIC_RELAXED);
    return page->kill_step && step == page->kill_step;
}

static void die(void) {
    kill(getpid(), SIGKILL);
    for (;;) pause();
}

#define REAL(result, name, ...)                                   \
    static result (*real)(__VA_ARGS__);                           \
    if (!real) real = (result(*)(__VA_ARGS__))dlsym(RTLD_NEXT, #name)
#define FAIL(call)                                                \
    do {                                                          \
        int error_ = struck(call, NULL);                          \
        if (error_ > 0) { errno = error_; return -1; }            \
    } while (0)

int accept(int fd, struct sockaddr *address, socklen_t *size) {
    REAL(int, accept, int, struct sockaddr *, socklen_t *);
    if (page && is_internet(fd)) FAIL(ACCEPT);
    return real(fd, address, size);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(int, accept4, int, struct sockaddr *, socklen_t *, int);
    if (page && is_internet(fd)) FAIL(ACCEPT);
    return real(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) {
    REAL(int, socket, int, int, int);
    if (domain == AF_INET || domain == AF_INET6) FAIL(SOCKET);
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(int, connect, int, const struct sockaddr *, socklen_t);
    if (address->sa_family == AF_INET || address->sa_family == AF_INET6) FAIL(CONNECT);
    return real(fd, address, size);
}

#define MOVES(call, fd, size)                                     \
    do {                                                          \
        if (page && page->rules[call].share && is_internet(fd)) { \
            int error_ = struck(call, &(size));                   \
            if (error_ > 0) { errno = error_; return -1; }        \
        }                                                         \
    } while (0)

ssize_t send(int fd, const void *data, size_t size, int flags) {
    REAL(ssize_t, send, int, const void *, size_t, int);
    MOVES(SEND, fd, size);
    return real(fd, data, size, flags);
}

ssize_t recv(int fd, void *data, size_t size, int flags) {
    REAL(ssize_t, recv, int, void *, size_t, int);
    if (!(flags & MSG_PEEK)) MOVES(RECV, fd, size);
    return real(fd, data, size, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(int, epoll_wait, int, struct epoll_event *, int, int);
    FAIL(WAIT);
    return real(fd, events, most, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int most, int timeout, const sigset_t *mask) {
    REAL(int, epoll_pwait, int, struct epoll_event *, int, int, const sigset_t *);
    FAIL(WAIT);
    return real(fd, events, most, timeout, mask);
}

ssize_t write(int fd, const void *data, size_t size) {
    REAL(ssize_t, write, int, const void *, size_t);
    if (page && fd > 2 && is_file(fd)) {
        if (disk_step()) {
            if (page->kill_bytes) real(fd, data, page->kill_bytes < size ? page->kill_bytes : size);
            die();
        }
        int error = struck(WRITE, &size);
        if (error > 0) { errno = error; return -1; }
    }
    return real(fd, data, size);
}

int fsync(int fd) {
    REAL(int, fsync, int);
    if (disk_step()) die();
    FAIL(SYNC);
    return real(fd);
}

int fdatasync(int fd) {
    REAL(int, fdatasync, int);
    if (disk_step()) die();
    FAIL(SYNC);
    return real(fd);
}

int rename(const char *before, const char *after) {
    REAL(int, rename, const char *, const char *);
    if (disk_step()) die();
    FAIL(RENAME);
    return real(before, after);
}

int renameat(int from, const char *before, int to, const char *after) {
    REAL(int, renameat, int, const char *, int, const char *);
    if (disk_step()) die();
    FAIL(RENAME);
    return real(from, before, to, after);
}

static int opened(int flags) {
    if (!page || !(flags & O_CREAT) || !(flags & (O_WRONLY | O_RDWR))) return 0;
    if (disk_step()) die();
    return struck(OPEN, NULL);
}

#define OPENS(name)                                               \
    int name(const char *path, int flags, ...) {                  \
        REAL(int, name, const char *, int, ...);                  \
        va_list more;                                             \
        va_start(more, flags);                                    \
        int mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(more, int) : 0; \
        va_end(more);                                             \
        int error = opened(flags);                                \
        if (error > 0) { errno = error; return -1; }              \
        return real(path, flags, mode);                           \
    }
OPENS(open)
OPENS(open64)

int clock_gettime(clockid_t which, struct timespec *got) {
    REAL(int, clock_gettime, clockid_t, struct timespec *);
    int result = real(which, got);
    if (!result && page && which == CLOCK_REALTIME && page->wall_ns) {
        int64_t moved = got->tv_sec * 1000000000LL + got->tv_nsec + page->wall_ns;
        got->tv_sec = moved / 1000000000LL;
        got->tv_nsec = moved % 1000000000LL;
    }
    return result;
}

int gettimeofday(struct timeval *got, void *zone) {
    struct timespec now;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    got->tv_sec = now.tv_sec;
    got->tv_usec = now.tv_nsec / 1000;
    return result;
}

time_t time(time_t *got) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (got) *got = now.tv_sec;
    return now.tv_sec;
}
