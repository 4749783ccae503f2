#include "parsing/fieldreader.h"

#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

/** Bounds the memory of the parser; a fleet of the largest size has a document of about 200 KB. */
constexpr std::size_t MaximumDocumentBytes = std::size_t{ 16 } * 1024 * 1024;
/** The parser recurses for each level and may run on a small stack; documents of this project nest at most 5 deep. */
constexpr int MaximumDepth = 32;
constexpr int MaximumIndentation = 64;

/**
 * Upper bound of the nesting: by brackets (quoted ones count too), by indicators that follow each other on a line,
 * and by indentation.
 */
bool nestsTooDeep(const std::string &text)
{
    int depth = 0;
    int indicators = 0;
    int indentation = 0;
    bool atStart = true;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const char it = text[n];
        const bool separated = n + 1 == text.size() || text[n + 1] == ' ' || text[n + 1] == '\n' || text[n + 1] == '\t';
        if (it == '\n' || it == '\r') {
            atStart = true;
            indentation = 0;
            indicators = 0;
        } else if (it == ' ' || it == '\t') {
            indentation += atStart ? 1 : 0;
        } else {
            atStart = false;
            const bool indicator = separated && (it == '-' || it == '?' || it == ':');
            indicators = indicator ? indicators + 1 : 0;
            depth += it == '[' || it == '{' ? 1 : 0;
            depth -= depth > 0 && (it == ']' || it == '}') ? 1 : 0;
        }
        if (depth > MaximumDepth || indicators > MaximumDepth || indentation > MaximumIndentation) {
            return true;
        }
    }
    return false;
}

} // namespace

std::optional<YAML::Node> parseYaml(const std::string &text, const std::string &file, Findings &findings)
{
    if (text.size() > MaximumDocumentBytes) {
        findings.push_back({ file, 0, "", fmt::format("the document is larger than {} bytes", MaximumDocumentBytes) });
        return std::nullopt;
    }
    if (nestsTooDeep(text)) {
        findings.push_back({ file, 0, "", fmt::format("the document nests deeper than {} levels", MaximumDepth) });
        return std::nullopt;
    }
    try {
        return YAML::Load(text);
    } catch (const YAML::Exception &exception) {
        const int line = exception.mark.is_null() ? 0 : exception.mark.line + 1;
        findings.push_back({ file, line, "", "invalid YAML: " + exception.msg });
        return std::nullopt;
    }
}

FieldReader::FieldReader(const YAML::Node &node, std::string path, std::string file, Findings &findings)
    : m_path(std::move(path))
    , m_file(std::move(file))
    , m_findings(findings)
    , m_line(node.Mark().is_null() ? 0 : node.Mark().line + 1)
{
    if (node.IsNull()) {
        return;
    }
    if (!node.IsMap()) {
        m_isMap = false;
        report(node, m_path, "must be a map of fields");
        return;
    }
    readEntries(node);
}

void FieldReader::readEntries(const YAML::Node &node)
{
    for (const auto &it : node) {
        if (!it.first.IsScalar()) {
            report(it.first, m_path, "field names must be plain text");
            continue;
        }
        const std::string &name = it.first.Scalar();
        const int line = it.first.Mark().line + 1;
        const bool added = m_entries.emplace(name, Entry{ it.second, line }).second;
        if (!added) {
            report(line, pathOf(name), "is given twice");
        }
    }
}

std::vector<std::string> FieldReader::names() const
{
    std::vector<std::string> result;
    for (const auto &it : m_entries) {
        result.push_back(it.first);
    }
    return result;
}

std::map<std::string, int> FieldReader::fieldLines() const
{
    std::map<std::string, int> result;
    for (const auto &[name, entry] : m_entries) {
        result[name] = entry.line;
    }
    return result;
}

bool FieldReader::has(const std::string &field) const
{
    return m_entries.contains(field);
}

void FieldReader::reportField(const std::string &field, const std::string &message)
{
    const auto it = m_entries.find(field);
    report(it == m_entries.end() ? m_line : it->second.line, pathOf(field), message);
}

void FieldReader::finish()
{
    for (const auto &[name, entry] : m_entries) {
        if (!entry.read) {
            report(entry.line, pathOf(name), "unknown field");
        }
    }
}

const YAML::Node *FieldReader::find(const std::string &field)
{
    const auto it = m_entries.find(field);
    if (it == m_entries.end()) {
        return nullptr;
    }
    it->second.read = true;
    return &it->second.value;
}

std::string FieldReader::pathOf(const std::string &field) const
{
    return m_path.empty() ? field : m_path + "." + field;
}

std::string FieldReader::scalarText(const YAML::Node &node)
{
    return node.IsScalar() ? node.Scalar() : std::string();
}

void FieldReader::reportMissing(const std::string &field)
{
    if (m_isMap) {
        report(m_line, pathOf(field), "is required");
    }
}

void FieldReader::report(const YAML::Node &node, const std::string &path, const std::string &message)
{
    report(node.Mark().is_null() ? m_line : node.Mark().line + 1, path, message);
}

void FieldReader::report(int line, const std::string &path, const std::string &message)
{
    m_findings.push_back({ m_file, line, path, message });
}

} // namespace Pimentohollow
