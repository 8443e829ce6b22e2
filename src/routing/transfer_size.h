#pragma once

namespace amaranthladder {

/// Mean sizes of the requests and responses of a route.
class transfer_size {
public:
    /// @param request bytes of the request's body.
    /// @param response bytes of the response's body.
    void observe(double request, double response) {
        const double weight = m_samples < max_samples ? 1.0 / ++m_samples : 1.0 / max_samples;
        m_request += (request - m_request) * weight;
        m_response += (response - m_response) * weight;
    }

    double request() const {
        return m_request;
    }

    double response() const {
        return m_response;
    }

    double total() const {
        return m_request + m_response;
    }

private:
    /// Responses over which the mean is formed: bodies of one route differ by a factor of six.
    static constexpr int max_samples = 50;

    double m_request = 0;
    double m_response = 0;
    int m_samples = 0;
};

} // namespace amaranthladder
