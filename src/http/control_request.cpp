#include "http/control_request.h"

#include <boost/json.hpp>

namespace amaranthladder {

namespace {

constexpr int default_error_status = 500;

} // namespace

control_reply make_error_reply(result_code code, const std::string& detail) {
    boost::json::object body;
    body["code"] = static_cast<int>(code);
    body["name"] = std::string(name(code));
    body["text"] = std::string(describe(code).text);
    body["detail"] = detail;
    const int status = describe(code).http_status;
    return {static_cast<unsigned>(status == 0 ? default_error_status : status), boost::json::serialize(body) + "\n"};
}

} // namespace amaranthladder
