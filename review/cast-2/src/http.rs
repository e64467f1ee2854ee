//! A small HTTP/1.1 server and client over blocking sockets, one thread per connection.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// The longest time that a client waits for a byte.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(40);

/// The head and the body of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn invalid(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

/// Reads a message; `None` if the connection ends before its first byte.
pub fn read_message<Input>(input: &mut Input) -> io::Result<Option<Message>>
where
    Input: BufRead,
{
    let mut message = Message::default();
    if input.read_line(&mut message.first_line)? == 0 {
        return Ok(None);
    }
    message.first_line = message.first_line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(invalid("the head is incomplete"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid(line))?;
        let value = value.trim().to_owned();
        message.headers.push((name.to_owned(), value));
    }
    let length: Option<usize> = message
        .header("content-length")
        .and_then(|length| length.parse().ok());
    if message.header("transfer-encoding").is_some() {
        read_chunks(input, &mut message.body)?;
    } else if let Some(length) = length {
        message.body.resize(length, 0);
        input.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks<Input>(input: &mut Input, body: &mut Vec<u8>) -> io::Result<()>
where
    Input: BufRead,
{
    loop {
        let mut line = String::new();
        input.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| invalid("chunk size"))?;
        let start = body.len();
        body.resize(start + size, 0);
        input.read_exact(&mut body[start..])?;
        input.read_line(&mut String::new())?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Writes a message with a length.
pub fn write_message<Output>(
    output: &mut Output,
    first_line: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()>
where
    Output: Write,
{
    let mut head = format!("{first_line}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    output.write_all(head.as_bytes())?;
    output.write_all(body)?;
    output.flush()
}

/// Answers a request on its connection; an error ends the connection.
pub trait Handler: Send + Sync + 'static {
    fn handle(&self, request: Message, stream: &mut TcpStream) -> io::Result<()>;
}

/// Serves an address until the process ends.
pub fn serve<Service>(listener: TcpListener, service: Arc<Service>)
where
    Service: Handler,
{
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let service = service.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &*service);
            });
        }
    });
}

fn serve_connection<Service>(mut stream: TcpStream, service: &Service) -> io::Result<()>
where
    Service: Handler,
{
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_message(&mut input)? {
        service.handle(request, &mut stream)?;
    }
    Ok(())
}

/// A client's connection, which stays open for several requests.
#[derive(Debug)]
pub struct Channel {
    input: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Channel {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(CLIENT_TIMEOUT))?;
        Ok(Self {
            input: BufReader::new(stream.try_clone()?),
            stream,
        })
    }

    pub fn call(
        &mut self,
        request_line: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<Message> {
        let first_line = format!("{request_line} HTTP/1.1");
        write_message(&mut self.stream, &first_line, headers, body)?;
        let answer = read_message(&mut self.input)?;
        answer.ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "closed"))
    }
}

/// Makes a call on a connection of its own.
pub fn call(
    address: SocketAddr,
    request_line: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<Message> {
    Channel::open(address)?.call(request_line, headers, body)
}
