// Compatibility check: uses the public npm package "openai", unmodified, with an
// instance. Exits 0 if the buffered and the streamed completion are the same and an
// unknown model is rejected with 404.
//   npm install openai && node openai.mjs http://127.0.0.1:PORT/v1 KEY MODEL
import OpenAI from "openai";

const [baseURL, apiKey, model] = process.argv.slice(2);
const client = new OpenAI({ baseURL, apiKey, maxRetries: 0 });
const messages = [{ role: "user", content: "Station health of KGN-04 [len=12]" }];

const buffered = await client.chat.completions.create({ model, messages });
console.log("buffered:", buffered.choices[0].message.content);

let streamed = "";
const stream = await client.chat.completions.create({ model, messages, stream: true });
for await (const chunk of stream) streamed += chunk.choices[0]?.delta?.content ?? "";
console.log("stream:  ", streamed);

const models = await client.models.list();
console.log("models:  ", models.data.map((m) => m.id).join(" "));

let rejectedStatus = 0;
try {
  await client.chat.completions.create({ model: "no-such", messages });
} catch (error) {
  rejectedStatus = error.status;
  console.log("error:   ", error.status, error.code);
}
process.exit(buffered.choices[0].message.content === streamed && rejectedStatus === 404 ? 0 : 1);
