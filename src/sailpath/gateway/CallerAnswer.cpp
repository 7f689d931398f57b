#include "CallerAnswer.hpp"

#include <cstdio>

namespace sailpath::gateway::priv
{
namespace
{
////////////////////////////////////////////////////////////
std::string_view statusPhrase(unsigned status)
{
    switch (status)
    {
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 429:
        return "Too Many Requests";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

////////////////////////////////////////////////////////////
void appendStatus(std::string& out, unsigned status, std::string_view reason)
{
    out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason).append("\r\n");
}

////////////////////////////////////////////////////////////
void appendField(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

////////////////////////////////////////////////////////////
void CallerAnswer::finishHead(bool close)
{
    if (close)
        appendField(head, "Connection", "close");
    head.append("\r\n");
}

////////////////////////////////////////////////////////////
CallerAnswer makeAnswer(const http::Head& head, std::string body, bool headOnly)
{
    const std::string_view connection = head.field("Connection");
    CallerAnswer           answer;
    appendStatus(answer.head, head.status, head.reason);
    for (const http::HeaderField& field : head.fields)
    {
        if (!http::concernsConnection(field.name, connection))
            appendField(answer.head, field.name, field.value);
    }
    const bool bodyless = head.status == 204 || head.status == 304;
    if (headOnly && head.has("Content-Length"))
        appendField(answer.head, "Content-Length", head.field("Content-Length"));
    else if (!headOnly && !bodyless)
        appendField(answer.head, "Content-Length", std::to_string(body.size()));
    if (!headOnly && !bodyless)
        answer.body = std::move(body);
    return answer;
}

////////////////////////////////////////////////////////////
CallerAnswer makeAnswer(const LocalAnswer& local, bool headOnly)
{
    CallerAnswer answer;
    appendStatus(answer.head, local.status, statusPhrase(local.status));
    if (local.retryAtOnce)
        appendField(answer.head, "Retry-After", "0");
    else if (local.retryAfter.count() > 0)
    {
        char text[32];
        std::snprintf(text, sizeof(text), "%.3f", core::toSeconds(local.retryAfter));
        appendField(answer.head, "Retry-After", text);
    }
    std::string body = std::string(local.reason) + "\n";
    appendField(answer.head, "Content-Type", "text/plain");
    appendField(answer.head, "Content-Length", std::to_string(body.size()));
    if (!headOnly)
        answer.body = std::move(body);
    return answer;
}

} // namespace sailpath::gateway::priv
