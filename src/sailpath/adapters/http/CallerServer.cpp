#include "CallerServer.hpp"

namespace sailpath::adapters::http::priv
{
////////////////////////////////////////////////////////////
CallerServer::CallerServer(RequestHandler& handler, std::size_t mostBody) :
m_handler(handler)
{
    set_payload_max_length(mostBody);
    set_pre_routing_handler(
        [this](const httplib::Request&, httplib::Response&)
        {
            if (m_serving.head->framing != BodyFraming::None)
                return HandlerResponse::Unhandled;
            handle([](const BodySink&) { return true; });
            return HandlerResponse::Handled;
        });

    const HandlerWithContentReader withBody =
        [this](const httplib::Request&, httplib::Response&, const httplib::ContentReader& reader)
    {
        handle(
            [this, &reader](const BodySink& sink)
            {
                const bool whole = reader([&sink](const char* data, std::size_t size) { return sink({data, size}); });
                *m_serving.bodyRead = whole;
                return whole;
            });
    };
    Post("/", withBody);
    Put("/", withBody);
    Patch("/", withBody);
    Delete("/", withBody);
}

////////////////////////////////////////////////////////////
void CallerServer::serveOne(CallerStream& stream, const RequestHead& head, const std::string& address,
                            AnswerWriter& answer, Cancellation& cancellation, std::atomic<bool>& bodyRead)
{
    m_serving = {&head, &address, &answer, &cancellation, &bodyRead};
    bodyRead = head.framing == BodyFraming::None;

    bool       closed = false;
    const auto simplify = [](httplib::Request& request)
    {
        // Routing is ours, and the body must come through as it was sent.
        request.path = "/";
        request.headers.erase("Content-Encoding");
        request.headers.erase("Content-Type");
        request.headers.erase("Range");
    };
    (void)process_request(stream, false, closed, simplify);
    m_serving = {};
}

////////////////////////////////////////////////////////////
void CallerServer::handle(const BodySource& body)
{
    CallerRequest request{*m_serving.head, *m_serving.address, body, *m_serving.answer, *m_serving.cancellation};
    m_handler.serve(request);
}

} // namespace sailpath::adapters::http::priv
