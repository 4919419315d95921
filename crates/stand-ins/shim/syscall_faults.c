/*
 * A library for LD_PRELOAD that makes system calls on IPv4 TCP sockets fail as Linux documents, for tests.
 *
 * SYSCALL_FAULTS lists rules, separated by commas: CALL:ERRNO:PERCENT. CALL is read, write, accept, connect or
 * wait; ERRNO is the number of the error, or 0 for a short read or write of one byte; PERCENT says how many of
 * the calls are hit. SYSCALL_FAULTS_SEED starts the random numbers.
 *
 * WALL_CLOCK_STEP, as AFTER_MS:STEP_MS, steps the wall clock once, so long after the start of the process.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>

#define MAX_RULES 16
#define SHORT 0
#define NO_FAULT -1

struct rule {
    char call[8];
    int error;
    int percent;
};

static struct rule rules[MAX_RULES];
static int rule_count;
static unsigned long long random_state = 88172645463325252ULL;
static pthread_mutex_t random_lock = PTHREAD_MUTEX_INITIALIZER;

__attribute__((constructor)) static void read_rules(void) {
    const char *text = getenv("SYSCALL_FAULTS");
    const char *seed = getenv("SYSCALL_FAULTS_SEED");
    if (seed != NULL)
        random_state ^= strtoull(seed, NULL, 10) * 0x9E3779B97F4A7C15ULL;
    while (text != NULL && rule_count < MAX_RULES) {
        struct rule *rule = &rules[rule_count];
        if (sscanf(text, "%7[a-z]:%d:%d", rule->call, &rule->error, &rule->percent) != 3)
            break;
        rule_count++;
        text = strchr(text, ',');
        text = text == NULL ? NULL : text + 1;
    }
}

static long long step_after_ms, step_ms, started_ms;

static long long to_ms(const struct timespec *time) {
    return time->tv_sec * 1000LL + time->tv_nsec / 1000000;
}

static int next_percent(void) {
    pthread_mutex_lock(&random_lock);
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    int percent = (int)((random_state >> 11) % 100);
    pthread_mutex_unlock(&random_lock);
    return percent;
}

static int fault_of(const char *call) {
    for (int i = 0; i < rule_count; i++)
        if (strcmp(rules[i].call, call) == 0 && next_percent() < rules[i].percent)
            return rules[i].error;
    return NO_FAULT;
}

static int is_tcp(int fd) {
    int saved = errno, domain = 0, type = 0;
    socklen_t size = sizeof(int);
    int known = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0;
    size = sizeof(int);
    known = known && getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0;
    errno = saved;
    return known && domain == AF_INET && type == SOCK_STREAM;
}

static int socket_fault(const char *call, int fd) {
    return is_tcp(fd) ? fault_of(call) : NO_FAULT;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define FAIL_IF(fault)          \
    do {                        \
        if ((fault) > SHORT) {  \
            errno = (fault);    \
            return -1;          \
        }                       \
    } while (0)

static size_t shortened(int fault, size_t length) {
    return fault == SHORT && length > 1 ? 1 : length;
}

__attribute__((constructor)) static void read_step(void) {
    const char *text = getenv("WALL_CLOCK_STEP");
    struct timespec now;
    if (text == NULL || sscanf(text, "%lld:%lld", &step_after_ms, &step_ms) != 2)
        return;
    REAL(clock_gettime)(CLOCK_MONOTONIC, &now);
    started_ms = to_ms(&now);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = REAL(clock_gettime)(clock, time);
    struct timespec now;
    if (result != 0 || clock != CLOCK_REALTIME || step_ms == 0)
        return result;
    REAL(clock_gettime)(CLOCK_MONOTONIC, &now);
    if (to_ms(&now) - started_ms >= step_after_ms) {
        long long stepped_ns = time->tv_nsec + step_ms % 1000 * 1000000LL + 1000000000LL;
        time->tv_sec += step_ms / 1000 + stepped_ns / 1000000000LL - 1;
        time->tv_nsec = stepped_ns % 1000000000LL;
    }
    return result;
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    int fault = socket_fault("read", fd);
    FAIL_IF(fault);
    return REAL(recv)(fd, buffer, shortened(fault, length), flags);
}

ssize_t read(int fd, void *buffer, size_t length) {
    int fault = socket_fault("read", fd);
    FAIL_IF(fault);
    return REAL(read)(fd, buffer, shortened(fault, length));
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    int fault = socket_fault("write", fd);
    FAIL_IF(fault);
    return REAL(send)(fd, buffer, shortened(fault, length), flags);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    int fault = socket_fault("write", fd);
    FAIL_IF(fault);
    return REAL(write)(fd, buffer, shortened(fault, length));
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    int fault = socket_fault("write", fd);
    FAIL_IF(fault);
    for (int i = 0; fault == SHORT && i < count; i++)
        if (parts[i].iov_len > 0) {
            struct iovec first = {parts[i].iov_base, 1};
            return REAL(writev)(fd, &first, 1);
        }
    return REAL(writev)(fd, parts, count);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    int fault = socket_fault("accept", fd);
    FAIL_IF(fault);
    return REAL(accept4)(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    int fault = socket_fault("connect", fd);
    FAIL_IF(fault);
    return REAL(connect)(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout) {
    int fault = fault_of("wait");
    FAIL_IF(fault);
    return REAL(epoll_wait)(fd, events, count, timeout);
}
