#ifndef LYCHEESTEP_EMBEDDED_SCHEMA_H
#define LYCHEESTEP_EMBEDDED_SCHEMA_H

namespace lycheestep {

// The text of docs/schema/catalogue.schema.json.
const char* CatalogueSchema();

// The text of docs/schema/settings.schema.json.
const char* SettingsSchema();

} // namespace lycheestep

#endif
