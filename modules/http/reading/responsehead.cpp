#include "http/reading/responsehead.h"

namespace Pimentohollow
{

ReadResult<ResponseHead> readFinalResponseHead(ByteStream &stream, std::size_t maximumBytes, TimePoint deadline)
{
    constexpr int MaximumInterimResponses = 8;
    constexpr std::uint16_t SwitchingProtocols = 101;
    constexpr std::uint16_t FirstFinalStatus = 200;
    for (int n = 0; n <= MaximumInterimResponses; ++n) {
        const auto text = stream.readHead(maximumBytes, deadline);
        if (!text) {
            return tl::unexpected(text.error());
        }
        auto head = parseResponseHead(*text);
        // No request asks for another protocol; what follows such a head isn't HTTP.
        if (!head || head->status == SwitchingProtocols) {
            return tl::unexpected(ReadError::Malformed);
        }
        if (head->status >= FirstFinalStatus) {
            return std::move(*head);
        }
    }
    return tl::unexpected(ReadError::Malformed);
}

} // namespace Pimentohollow
