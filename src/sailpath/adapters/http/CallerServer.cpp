#include "CallerServer.hpp"

namespace sailpath::adapters::http::priv
{
////////////////////////////////////////////////////////////
CallerServer::CallerServer(RequestHandler& handler, std::size_t maxBodyBytes) :
m_handler(handler)
{
    set_payload_max_length(maxBodyBytes);
    set_pre_routing_handler(
        [this](const httplib::Request&, httplib::Response&)
        {
            if (m_current.head->framing != BodyFraming::None)
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
                *m_current.bodyRead = whole;
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
    m_current = {&head, &address, &answer, &cancellation, &bodyRead};
    bodyRead = head.framing == BodyFraming::None;

    bool       closed = false;
    const auto prepareForLibrary = [](httplib::Request& request)
    {
        // The handler does the routing, so every request matches one path of the library. Without these headers the
        // library passes the body on as sent.
        request.path = "/";
        request.headers.erase("Content-Encoding");
        request.headers.erase("Content-Type");
        request.headers.erase("Range");
    };
    (void)process_request(stream, false, closed, prepareForLibrary);
    m_current = {};
}

////////////////////////////////////////////////////////////
void CallerServer::handle(const BodySource& body)
{
    CallerRequest request{*m_current.head, *m_current.address, body, *m_current.answer, *m_current.cancellation};
    m_handler.serve(request);
}

} // namespace sailpath::adapters::http::priv
