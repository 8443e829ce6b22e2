#include "fakes/scripted_upstream.h"
#include "fakes/two_daemons.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace amaranthladder;

BOOST_AUTO_TEST_SUITE(repeated_refusal_test)

namespace {

/// Headers of a platform whose upstreams echo the request's id and mark refusals.
void use_platform_headers(proxy_options& options) {
    options.headers.request_id = "X-Request-Id";
    options.headers.deadline_ms = "X-Deadline";
    options.headers.signature = "X-Response-Signature";
    options.headers.not_executed = "X-Not-Executed";
    options.first_byte_timeout = absl::Seconds(3);
}

std::string id_header(const std::string& id) {
    return id.empty() ? "" : "X-Request-Id: " + id + "\r\n";
}

std::string refusal(const std::string& id, int status) {
    return "HTTP/1.1 " + std::to_string(status) + " No\r\n" + id_header(id) +
           "X-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nno";
}

std::string success(const std::string& id) {
    return "HTTP/1.1 200 OK\r\n" + id_header(id) + "X-Response-Signature: s\r\nContent-Length: 4\r\n\r\ndone";
}

/// A mesh whose only upstream is a scripted one.
struct scripted_mesh {
    explicit scripted_mesh(scripted_upstream::script script)
        : upstream(std::move(script)), mesh(16, 16, use_platform_headers) {
        mesh.record.address = upstream.address();
        mesh.owner->set_local_upstream(mesh.record, 16);
        for (auto* proxy : {mesh.entry.get(), mesh.owner.get()}) {
            proxy->set_upstreams({mesh.record});
        }
    }

    int post(const std::string& path) {
        const auto answer =
            mesh.client().Post(path, httplib::Headers{{"X-Request-Id", "id-" + path.substr(1)}}, "order", "text/plain");
        return answer ? answer->status : 0;
    }

    scripted_upstream upstream;
    two_daemons mesh;
};

} // namespace

struct repeated_row {
    const char* name;
    bool has_id;          ///< The second copy of the refusal carries the id of the refused request.
    int status;           ///< Of the refusal.
    absl::Duration delay; ///< Time from the next request to the second copy.

    friend std::ostream& operator<<(std::ostream& out, const repeated_row& row) {
        return out << row.name;
    }
};

const repeated_row repeated_rows[] = {
    {"with the id of the earlier request", true, 503, absl::Milliseconds(20)},
    {"without an id", false, 503, absl::Milliseconds(20)},
    {"of another upstream, with the id of the earlier request", true, 421, absl::Milliseconds(20)},
    {"of another upstream, without an id", false, 421, absl::Milliseconds(20)},
    {"too many requests, without an id", false, 429, absl::Milliseconds(20)},
};

// Guards against a caller that is told "not run" for an order that runs: the upstream writes its refusal of an earlier
// request once more, on the connection that carries the order now.
BOOST_DATA_TEST_CASE(second_copy_of_a_refusal_says_nothing_of_the_next_request, repeated_rows, row) {
    scripted_mesh scripted([&row](const scripted_request& request) -> scripted_answer {
        const std::string id = request.header("X-Request-Id");
        if (request.head.find("/refused") != std::string::npos) {
            return {refusal(id, row.status)};
        }
        // The second copy arrives while this request runs; its own response follows.
        const std::string copy = refusal(row.has_id ? "id-refused" : "", row.status);
        return {copy, row.delay, false, success(id), absl::Milliseconds(100)};
    });
    BOOST_TEST(scripted.post("/refused") == 503);
    const int status = scripted.post("/order");
    BOOST_TEST(status == 200);
    BOOST_TEST(scripted.upstream.targets().size() == 2U);
}

struct unnamed_row {
    const char* name;
    int earlier_requests; ///< On the same connection, answered without an id.
    int status;           ///< That the refused request gets.

    friend std::ostream& operator<<(std::ostream& out, const unnamed_row& row) {
        return out << row.name;
    }
};

const unnamed_row unnamed_rows[] = {
    {"first response on a connection", 0, 503},
    {"later response", 1, 502},
};

// Guards against a false "not run" from an upstream that names no ids: a refusal that is not the first response on its
// connection may be one that was sent before.
BOOST_DATA_TEST_CASE(unnamed_refusal_is_believed_on_a_new_connection_only, unnamed_rows, row) {
    scripted_mesh scripted([&row](const scripted_request& request) -> scripted_answer {
        return {request.on_connection < row.earlier_requests ? success("") : refusal("", 503)};
    });
    for (int number = 0; number < row.earlier_requests; ++number) {
        BOOST_TEST(scripted.post("/earlier") == 200);
    }
    BOOST_TEST(scripted.post("/order") == row.status);
}

// Guards against refusals that are no longer believed: one that names its request is a promise, so that the request may
// be tried elsewhere or again.
BOOST_AUTO_TEST_CASE(refusal_with_the_id_of_the_request_is_believed) {
    scripted_mesh scripted([](const scripted_request& request) -> scripted_answer {
        return {refusal(request.header("X-Request-Id"), 503)};
    });
    for (int number = 0; number < 5; ++number) {
        BOOST_TEST(scripted.post("/order") == 503);
    }
}

BOOST_AUTO_TEST_SUITE_END()
