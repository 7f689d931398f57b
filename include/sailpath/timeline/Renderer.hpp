#pragma once

#include <sailpath/timeline/Event.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace sailpath::timeline
{
////////////////////////////////////////////////////////////
/// \brief Writes a time line in one format
////////////////////////////////////////////////////////////
using Renderer = std::string (*)(std::span<const Event>);

////////////////////////////////////////////////////////////
/// \brief One line of text per event
////////////////////////////////////////////////////////////
[[nodiscard]] std::string renderText(std::span<const Event> events);

////////////////////////////////////////////////////////////
/// \brief One JSON object per event and line
////////////////////////////////////////////////////////////
[[nodiscard]] std::string renderJsonLines(std::span<const Event> events);

////////////////////////////////////////////////////////////
/// \brief One self-contained HTML page with a column per process and a filter
////////////////////////////////////////////////////////////
[[nodiscard]] std::string renderHtml(std::span<const Event> events);

////////////////////////////////////////////////////////////
/// \brief The requests as arrivals of a trace for sailpath-replay
///
/// A request's work is the time that a server logged for it; requests that no
/// server logged are left out. A setup line is to be put in front.
////////////////////////////////////////////////////////////
[[nodiscard]] std::string renderTrace(std::span<const Event> events);

////////////////////////////////////////////////////////////
/// \brief The renderer of a format: `text`, `jsonl`, `html` or `trace`
////////////////////////////////////////////////////////////
[[nodiscard]] std::optional<Renderer> rendererNamed(std::string_view format);

} // namespace sailpath::timeline
