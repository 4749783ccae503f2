#pragma once

#include "core/enumtable.h"
#include "parsing/finding.h"
#include "parsing/scalars.h"

#include <map>
#include <optional>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace Pimentohollow
{

/** Parses YAML text; a syntax error becomes a finding. Nothing if the text is malformed or too large. */
std::optional<YAML::Node> parseYaml(const std::string &text, const std::string &file, Findings &findings);

/**
 * Reads the fields of one YAML map into an aggregate and collects every fault instead of stopping at the first.
 * Call finish() last: it reports the fields that nothing asked for.
 * @see FieldWriter, which has the same functions for the way back
 */
class FieldReader
{
public:
    /** @param path the path of the map inside the document; empty for the document itself */
    FieldReader(const YAML::Node &node, std::string path, std::string file, Findings &findings);

    template <typename T>
    void required(const std::string &field, T &value, const Range &range = {})
    {
        const YAML::Node *node = find(field);
        if (node == nullptr) {
            reportMissing(field);
            return;
        }
        readScalar(*node, pathOf(field), value, range);
    }

    /** Keeps the value that is there if the field is absent. */
    template <typename T>
    void optional(const std::string &field, T &value, const Range &range = {})
    {
        if (const YAML::Node *node = find(field)) {
            readScalar(*node, pathOf(field), value, range);
        }
    }

    template <typename T>
    void optional(const std::string &field, std::optional<T> &value, const Range &range = {})
    {
        if (const YAML::Node *node = find(field)) {
            readScalar(*node, pathOf(field), value.emplace(), range);
        }
    }

    template <typename Enum, std::size_t Size>
    void choice(const std::string &field, Enum &value, const EnumTable<Enum, Size> &names)
    {
        const YAML::Node *node = find(field);
        if (node == nullptr) {
            return;
        }
        if (const auto parsed = names.value(scalarText(*node))) {
            value = *parsed;
            return;
        }
        std::string allowed;
        for (const auto &it : names.entries()) {
            allowed += allowed.empty() ? "" : ", ";
            allowed += it.name;
        }
        report(*node, pathOf(field), "must be one of: " + allowed);
    }

    /** Reads a sequence of scalars; an absent one leaves the list empty. */
    template <typename T>
    void list(const std::string &field, std::vector<T> &values)
    {
        forEach(field, [this, &values](const YAML::Node &node, const std::string &path) {
            readScalar(node, path, values.emplace_back(), {});
        });
    }

    /** Calls @p read with a reader for the map in @p field; an absent one is read as empty, so that its required fields are reported. */
    template <typename Read>
    void section(const std::string &field, Read &&read)
    {
        const YAML::Node *node = find(field);
        FieldReader reader(node == nullptr ? YAML::Node(YAML::NodeType::Map) : *node, pathOf(field), m_file, m_findings);
        if (node == nullptr) {
            reader.m_line = m_line;
        }
        read(reader);
        reader.finish();
    }

    /** Like section(), but does nothing if the field is absent. */
    template <typename Read>
    void optionalSection(const std::string &field, Read &&read)
    {
        if (find(field) != nullptr) {
            section(field, std::forward<Read>(read));
        }
    }

    /** Calls @p read for each item of the sequence in @p field. */
    template <typename Read>
    void forEach(const std::string &field, Read &&read)
    {
        const YAML::Node *node = find(field);
        if (node == nullptr || node->IsNull()) {
            return;
        }
        if (!node->IsSequence()) {
            report(*node, pathOf(field), "must be a list");
            return;
        }
        std::size_t index = 0;
        for (const auto &it : *node) {
            read(it, pathOf(field) + "[" + std::to_string(index++) + "]");
        }
    }

    /** The names of all fields, for maps whose keys are data. */
    std::vector<std::string> names() const;

    bool has(const std::string &field) const;

    /** The line of each field that is there. */
    std::map<std::string, int> fieldLines() const;

    /** Adds a finding about a field of this map; at the map's own line if the field is absent. */
    void reportField(const std::string &field, const std::string &message);

    /** Reports the fields that nothing read. */
    void finish();

    int line() const
    {
        return m_line;
    }

private:
    struct Entry {
        YAML::Node value;
        int line = 0;
        bool read = false;
    };

    template <typename T>
    void readScalar(const YAML::Node &node, const std::string &path, T &value, const Range &range)
    {
        if (!node.IsScalar()) {
            report(node, path, "must be a single value");
            return;
        }
        const std::string problem = parseScalar(node.Scalar(), range, value);
        if (!problem.empty()) {
            report(node, path, problem);
        }
    }

    const YAML::Node *find(const std::string &field);
    std::string pathOf(const std::string &field) const;
    static std::string scalarText(const YAML::Node &node);
    void reportMissing(const std::string &field);
    void report(const YAML::Node &node, const std::string &path, const std::string &message);
    void report(int line, const std::string &path, const std::string &message);
    void readEntries(const YAML::Node &node);

    std::string m_path;
    std::string m_file;
    Findings &m_findings;
    std::map<std::string, Entry> m_entries;
    int m_line = 0;
    /** False if the node isn't a map: then only that is reported, not every missing field. */
    bool m_isMap = true;
};

} // namespace Pimentohollow
