#ifndef LYCHEESTEP_EMBEDDED_SCHEMA_H
#define LYCHEESTEP_EMBEDDED_SCHEMA_H

namespace lycheestep {

// Returns the text of docs/schema/catalogue.schema.json.
const char* CatalogueSchema();

// Returns the text of docs/schema/settings.schema.json.
const char* SettingsSchema();

} // namespace lycheestep

#endif
