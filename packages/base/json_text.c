#include "base/json_text.h"

#include <string.h>

static gboolean
is_space (char c)
{
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

static void
skip_spaces (struct str *text)
{
  while (text->n > 0 && is_space (*text->p))
    text->p++, text->n--;
}

/* Removes N bytes from the beginning of TEXT.  */
static void
advance (struct str *text, gsize n)
{
  text->p += n;
  text->n -= n;
}

/* Returns the length of the string with which TEXT begins, with its quotes; 0
   if it does not end.  */
static gsize
string_length (struct str text)
{
  for (gsize i = 1; i < text.n; i++)
    if (text.p[i] == '"')
      return i + 1;
    else if (text.p[i] == '\\')
      i++;
  return 0;
}

/* Returns the length of the value with which TEXT begins, 0 if it does not end,
   and how many objects and arrays are inside each other in DEPTH.  */
static gsize
value_length (struct str text, guint *depth)
{
  guint open = 0;
  *depth = 0;
  for (gsize i = 0; i < text.n; i++)
    switch (text.p[i])
      {
      case '"':
        {
          struct str rest = { text.p + i, text.n - i };
          gsize n = string_length (rest);
          if (n == 0)
            return 0;
          if (open == 0)
            return i + n;
          i += n - 1;
          break;
        }
      case '[':
      case '{':
        open++;
        *depth = MAX (*depth, open);
        break;
      case ']':
      case '}':
        if (open == 0)
          return i;
        if (--open == 0)
          return i + 1;
        break;
      case ',':
        if (open == 0)
          return i;
        break;
      default:
        break;
      }
  return open == 0 ? text.n : 0;
}

/* Loads TEXT. Returns FALSE if it is no JSON value, or if objects and arrays
   are nested too deeply in it for a parser that recurses.  */
gboolean
json_text_load (JsonParser *parser, struct str text)
{
  guint depth;
  skip_spaces (&text);
  struct str rest = text;
  gsize n = value_length (text, &depth);
  advance (&rest, n);
  skip_spaces (&rest);
  return n > 0 && rest.n == 0 && depth <= JSON_TEXT_DEPTH_MAX
         && json_parser_load_from_data (parser, text.p, (gssize)text.n, NULL)
         && json_parser_get_root (parser) != NULL;
}

/* Returns the JSON object in TEXT, to be unreffed by the caller, or NULL if
   TEXT does not hold one.  */
JsonNode *
json_text_parse_object (struct str text)
{
  JsonParser *parser = json_parser_new_immutable ();
  JsonNode *root = NULL;
  if (json_text_load (parser, text)
      && JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser)))
    root = json_parser_steal_root (parser);
  g_object_unref (parser);
  return root;
}

/* Removes the next item of the object or array whose inside REST is. Returns
   FALSE at its end, or if it is malformed.  */
static gboolean
next_item (struct str *rest, struct str *item)
{
  guint depth;
  skip_spaces (rest);
  if (rest->n == 0 || *rest->p == ']' || *rest->p == '}')
    return FALSE;
  gsize n = value_length (*rest, &depth);
  if (n == 0)
    return FALSE;
  *item = (struct str){ rest->p, n };
  while (is_space (item->p[item->n - 1]))
    item->n--;
  advance (rest, n);
  skip_spaces (rest);
  return TRUE;
}

/* Finds the member NAME of OBJECT and stores the text of its value.  */
gboolean
json_text_member (struct str object, const char *name, struct str *value)
{
  struct str key;
  struct str wanted = str_of (name);
  skip_spaces (&object);
  if (object.n == 0 || *object.p != '{')
    return FALSE;
  advance (&object, 1);
  while (next_item (&object, &key))
    {
      gboolean found = key.n == wanted.n + 2
                       && memcmp (key.p + 1, wanted.p, wanted.n) == 0;
      if (object.n == 0 || *object.p != ':')
        return FALSE;
      advance (&object, 1);
      if (!next_item (&object, value))
        return FALSE;
      if (found)
        return TRUE;
      if (object.n > 0 && *object.p == ',')
        advance (&object, 1);
    }
  return FALSE;
}

/* Removes the name of the next member of OBJECT, the text of an object or what
   is left of one, and stores it without quotes, as it is written; its value
   comes next. Returns FALSE at the end, which leaves "}", or if the text is
   malformed.  */
gboolean
json_text_next_name (struct str *object, struct str *name)
{
  struct str rest = *object;
  skip_spaces (&rest);
  if (rest.n == 0 || (*rest.p != '{' && *rest.p != ','))
    return FALSE;
  gboolean is_first = *rest.p == '{';
  advance (&rest, 1);
  skip_spaces (&rest);
  if (is_first && rest.n > 0 && *rest.p == '}')
    {
      *object = rest;
      return FALSE;
    }
  if (rest.n == 0 || *rest.p != '"' || !next_item (&rest, name) || rest.n == 0
      || *rest.p != ':')
    return FALSE;
  advance (&rest, 1);
  skip_spaces (&rest);
  advance (name, 1);
  name->n--;
  *object = rest;
  return TRUE;
}

/* Removes the value of the member whose name was removed from OBJECT.  */
gboolean
json_text_next_value (struct str *object, struct str *value)
{
  return next_item (object, value);
}

/* Removes the next element of ARRAY, the text of an array or what is left of
   one, and stores its text. Returns FALSE at the end, or if the text is
   malformed.  */
gboolean
json_text_next_element (struct str *array, struct str *element)
{
  skip_spaces (array);
  if (array->n > 0 && (*array->p == '[' || *array->p == ','))
    advance (array, 1);
  else
    return FALSE;
  return next_item (array, element);
}
