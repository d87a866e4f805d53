#include "fuzz/fuzz_decoders.h"
#include "platform/adapter.h"

#include "base/json_text.h"
#include "peer/gossip_message.h"
#include "peer/peer_server_list.h"
#include "peer/stream_inquiry.h"
#include "streams/stream_versions.h"

/* Walks over TEXT as a page of the store's list, and decodes its items.  */
static void
decode_page (struct str text)
{
  struct str items;
  struct str item;
  struct str spec;
  struct registry_entry entry;
  if (!json_text_member (text, "items", &items))
    return;
  while (json_text_next_element (&items, &item))
    {
      JsonNode *root = json_text_member (item, "spec", &spec)
                           ? json_text_parse_object (spec)
                           : NULL;
      if (root == NULL)
        continue;
      adapter_decode_server ("fuzzed", json_node_get_object (root), 0, &entry);
      json_node_unref (root);
    }
}

static void
decode_list (struct str text)
{
  struct peer_server_list list = { .entries = NULL };
  struct err err = { 0 };
  if (server_list_decode (text, 0, NULL, &list, &err) == 0
      && list.entries != NULL)
    g_array_unref (list.entries);
}

/* Reads TEXT as both kinds of objects that concern versions.  */
static void
decode_versions (struct str text)
{
  struct version_table *table = version_table_new ();
  struct begun_streams *streams = begun_streams_new (0);
  version_table_read (table, text, 1, 0);
  begun_streams_read (streams, text, BEGUN_SAVED);
  begun_streams_free (streams);
  version_table_free (table);
}

/* Decodes the N BYTES, of which the first says as what: a configuration, a page
   of servers, a message of a peer or its list of servers, a table of versions
   or streams that have begun, a question or an answer about a stream.  */
int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t n)
{
  static struct gossip_message message;
  struct stream_inquiry inquiry;
  struct err err = { 0 };
  if (n == 0)
    return 0;
  struct str text = { (const char *)bytes + 1, n - 1 };
  switch (bytes[0])
    {
    case 'c':
      routing_table_unref (adapter_decode_text (text, &err));
      break;
    case 's':
      decode_page (text);
      break;
    case 'm':
      gossip_message_decode (text, &message, &err);
      break;
    case 'l':
      decode_list (text);
      break;
    case 'v':
      decode_versions (text);
      break;
    case 'q':
      stream_inquiry_decode (text, &inquiry, &err);
      break;
    default:
      break;
    }
  return 0;
}
