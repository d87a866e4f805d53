// Uses the public npm package "openai", unchanged, against an instance:
//   npm install openai && node openai.mjs http://127.0.0.1:PORT/v1 KEY MODEL
import OpenAI from "openai";

const [baseURL, apiKey, model] = process.argv.slice(2);
const client = new OpenAI({ baseURL, apiKey, maxRetries: 0 });
const messages = [{ role: "user", content: "Station health of KGN-04 [len=12]" }];

const whole = await client.chat.completions.create({ model, messages });
console.log("whole: ", whole.choices[0].message.content);

let streamed = "";
const stream = await client.chat.completions.create({ model, messages, stream: true });
for await (const chunk of stream) streamed += chunk.choices[0]?.delta?.content ?? "";
console.log("stream:", streamed);

const models = await client.models.list();
console.log("models:", models.data.map((m) => m.id).join(" "));

let refused = 0;
try {
  await client.chat.completions.create({ model: "no-such", messages });
} catch (error) {
  refused = error.status;
  console.log("error: ", error.status, error.code);
}
process.exit(whole.choices[0].message.content === streamed && refused === 404 ? 0 : 1);
