#include "scripted_upstream.h"

#include <absl/strings/ascii.h>
#include <absl/time/clock.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

namespace amaranthladder {

namespace {

constexpr int listen_backlog = 64;
constexpr std::string_view head_end = "\r\n\r\n";

bool send_all(int socket, const std::string& bytes) {
    return ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

} // namespace

std::string scripted_request::header(const std::string& name) const {
    const std::string lower_head = absl::AsciiStrToLower(head);
    const std::string wanted = "\r\n" + absl::AsciiStrToLower(name) + ":";
    const std::size_t found = lower_head.find(wanted);
    if (found == std::string::npos) {
        return "";
    }
    const std::size_t begin = found + wanted.size();
    return std::string(absl::StripAsciiWhitespace(head.substr(begin, head.find("\r\n", begin) - begin)));
}

scripted_upstream::scripted_upstream(script answer)
    : m_answer(std::move(answer)), m_listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(local);
    if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&local), size) != 0 ||
        ::listen(m_listener, listen_backlog) != 0 ||
        ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&local), &size) != 0) {
        throw std::runtime_error("the scripted upstream cannot listen");
    }
    m_address = {"127.0.0.1", ntohs(local.sin_port)};
    m_accept_thread = std::thread([this] { accept_connections(); });
}

scripted_upstream::~scripted_upstream() {
    ::shutdown(m_listener, SHUT_RDWR);
    m_accept_thread.join();
    ::close(m_listener);
    {
        const absl::MutexLock lock(&m_mutex);
        for (const int socket : m_sockets) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    for (std::thread& thread : m_connection_threads) {
        thread.join();
    }
    for (const int socket : m_sockets) {
        ::close(socket);
    }
}

endpoint scripted_upstream::address() const {
    return m_address;
}

std::vector<std::string> scripted_upstream::targets() const {
    const absl::MutexLock lock(&m_mutex);
    return m_targets;
}

void scripted_upstream::accept_connections() {
    for (int connection = 0;; ++connection) {
        const int socket = ::accept(m_listener, nullptr, nullptr);
        if (socket < 0) {
            return;
        }
        const absl::MutexLock lock(&m_mutex);
        m_sockets.push_back(socket);
        m_connection_threads.emplace_back([this, socket, connection] { serve(socket, connection); });
    }
}

void scripted_upstream::serve(int socket, int connection) {
    std::string received;
    for (int number = 0;; ++number) {
        std::size_t end = received.find(head_end);
        while (end == std::string::npos) {
            char chunk[4096];
            const auto size = ::recv(socket, chunk, sizeof(chunk), 0);
            if (size <= 0) {
                return;
            }
            received.append(chunk, static_cast<std::size_t>(size));
            end = received.find(head_end);
        }
        scripted_request request{connection, number, received.substr(0, end + head_end.size())};
        received.erase(0, request.head.size());
        const std::string length = request.header("Content-Length");
        std::size_t missing = length.empty() ? 0 : std::stoul(length);
        while (received.size() < missing) {
            char chunk[4096];
            const auto size = ::recv(socket, chunk, sizeof(chunk), 0);
            if (size <= 0) {
                return;
            }
            received.append(chunk, static_cast<std::size_t>(size));
        }
        received.erase(0, missing);
        const std::size_t target = request.head.find(' ') + 1;
        {
            const absl::MutexLock lock(&m_mutex);
            m_targets.push_back(request.head.substr(target, request.head.find(' ', target) - target));
        }
        const scripted_answer answer = m_answer(request);
        absl::SleepFor(answer.delay);
        if (!send_all(socket, answer.bytes)) {
            return;
        }
        if (!answer.surplus.empty()) {
            absl::SleepFor(answer.surplus_delay);
            send_all(socket, answer.surplus);
        }
        if (answer.closes) {
            ::shutdown(socket, SHUT_RDWR);
            return;
        }
    }
}

} // namespace amaranthladder
