#include "kernel/toml_shim.h"

#include <cstdlib>
#include <cstring>
#include <string>
#include <toml.hpp>
#include <vector>

namespace
{

SsTomlEntry
make_entry (const std::string &key, const toml::value &value)
{
  SsTomlEntry entry = {};

  entry.key = strdup (key.c_str ());
  entry.line = static_cast<uint32_t> (value.location ().line ());
  entry.type = SS_TOML_OTHER;
  if (value.is_string ())
    {
      entry.type = SS_TOML_STRING;
      entry.text = strdup (value.as_string ().str.c_str ());
    }
  else if (value.is_integer ())
    {
      entry.type = SS_TOML_INTEGER;
      entry.number = value.as_integer ();
      entry.real = static_cast<double> (entry.number);
    }
  else if (value.is_floating ())
    {
      entry.type = SS_TOML_FLOAT;
      entry.real = value.as_floating ();
    }
  else if (value.is_boolean ())
    {
      entry.type = SS_TOML_BOOLEAN;
      entry.number = value.as_boolean () ? 1 : 0;
    }
  return entry;
}

void
flatten (const toml::value &value, const std::string &prefix,
         std::vector<SsTomlEntry> &out)
{
  if (!value.is_table ())
    {
      out.push_back (make_entry (prefix, value));
      return;
    }
  for (const auto &item : value.as_table ())
    {
      const std::string key
          = prefix.empty () ? item.first : prefix + "." + item.first;
      flatten (item.second, key, out);
    }
}

}

void
ss_toml_read (SsTomlFile *file, const char *path)
{
  std::vector<SsTomlEntry> out;

  memset (file, 0, sizeof *file);
  try
    {
      flatten (toml::parse (path), "", out);
    }
  catch (const std::exception &e)
    {
      file->error = strdup ((std::string (path) + ": " + e.what ()).c_str ());
    }
  file->count = out.size ();
  file->entries = static_cast<SsTomlEntry *> (
      calloc (out.size () + 1, sizeof (SsTomlEntry)));
  for (size_t i = 0; i < out.size (); i++)
    file->entries[i] = out[i];
}

void
ss_toml_finish (SsTomlFile *file)
{
  for (size_t i = 0; i < file->count; i++)
    {
      free (file->entries[i].key);
      free (file->entries[i].text);
    }
  free (file->entries);
  free (file->error);
}
