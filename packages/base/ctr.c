#include "base/ctr.h"

static const struct
{
  const char *name;
  const char *help;
} infos[CTR_N] = {
#define CTR_INFO(id, name, help) { name, help },
  CTR_LIST (CTR_INFO)
#undef CTR_INFO
};

/* Returns the name of counter ID as it stands in the dump.  */
const char *
ctr_name (enum ctr_id id)
{
  return infos[id].name;
}

/* Adds one JSON object with all counters to JSON.  */
void
ctr_dump (const struct ctr *ctr, JsonBuilder *json)
{
  json_builder_begin_object (json);
  for (int i = 0; i < CTR_N; i++)
    {
      json_builder_set_member_name (json, infos[i].name);
      json_builder_add_int_value (json, (gint64)ctr->v[i]);
    }
  json_builder_end_object (json);
}

/* Appends all counters to OUT in the Prometheus text format.  */
void
ctr_prometheus (const struct ctr *ctr, GString *out)
{
  for (int i = 0; i < CTR_N; i++)
    g_string_append_printf (out,
                            "# HELP jacinthward_%s_total %s\n"
                            "# TYPE jacinthward_%s_total counter\n"
                            "jacinthward_%s_total %" G_GUINT64_FORMAT "\n",
                            infos[i].name, infos[i].help, infos[i].name,
                            infos[i].name, ctr->v[i]);
}
