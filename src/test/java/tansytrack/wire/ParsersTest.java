package tansytrack.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What is read from peers: byte by byte, and junk. */
class ParsersTest {

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static RingBuffer ring(String text) {
    RingBuffer ring = new RingBuffer(1 << 16);
    assertThat(ring.put(bytes(text))).isTrue();
    return ring;
  }

  @ParameterizedTest(name = "{0} at a time, {1} taken")
  @CsvSource({"1, 1", "700, 700", "1000, 999", "2048, 2000", "3000, 2999"})
  void aRingKeepsItsBytesInOrderAtItsWrap(int put, int taken) {
    RingBuffer ring = new RingBuffer(1 << 13);
    int written = 0;
    int read = 0;
    for (int turn = 0; turn < 50; turn++) {
      byte[] next = new byte[put];
      for (int i = 0; i < put; i++) {
        next[i] = (byte) (written + i);
      }
      boolean fits = put <= ring.freeSpace();
      assertThat(ring.put(next)).isEqualTo(fits);
      written += fits ? put : 0;
      byte[] out = ring.take(Math.min(taken, ring.size()));
      for (int i = 0; i < out.length; i++) {
        assertThat(out[i]).isEqualTo((byte) (read + i));
      }
      read += out.length;
      assertThat(ring.size()).isEqualTo(written - read).isLessThanOrEqualTo(1 << 13);
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "{\"a\":[1,-2.5,\"x\\u0041\\n\"],\"b\":{}} | {a=[1, -2.5, xA\\n], b={}}",
        "[] | []",
        "null | null",
        "[true , false] | [true, false]",
        "1e3 | 1000.0",
        "\"\\/\\\\\" | /\\",
        "9223372036854775807 | 9.223372036854776E18"
      })
  void jsonIsRead(String text, String value) throws ProtocolException {
    assertThat(String.valueOf(Json.parse(bytes(text)))).isEqualTo(value.replace("\\n", "\n"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "{",
        "{\"a\"}",
        "{\"a\":1,}",
        "[1",
        "[1]x",
        "tru",
        "\"abc",
        "\"\\u12\"",
        "\"\\q\"",
        "-",
        "1.2.3",
        "{1:2}",
        "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
        "1e999",
        "nan"
      })
  void junkIsNoJson(String text) {
    assertThatThrownBy(() -> Json.parse(bytes(text))).isInstanceOf(ProtocolException.class);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "HTTP/1.1 200 OK\\r"
            + "\\n"
            + "Content-Length: 3\\r"
            + "\\n"
            + "Page-Count: 2\\r"
            + "\\n"
            + "\\r"
            + "\\n"
            + "abc | 200 | abc | true",
        "HTTP/1.1 202 Accepted\\r"
            + "\\n"
            + "Content-Length: 0\\r"
            + "\\n"
            + "connection: close\\r"
            + "\\n"
            + "\\r"
            + "\\n"
            + " | 202 | '' | false",
        "HTTP/1.1 204 No Content\\r\\n\\r\\n | 204 | '' | true",
        "HTTP/1.0 503 No\\r\\nX-Not-Run:1\\r\\nContent-Length:1\\r\\n\\r\\nx | 503 | x | false",
        "HTTP/1.1 200 OK\\r"
            + "\\n"
            + "Transfer-Encoding: chunked\\r"
            + "\\n"
            + "\\r"
            + "\\n"
            + "2\\r"
            + "\\n"
            + "ab\\r"
            + "\\n"
            + "1;x=y\\r"
            + "\\n"
            + "c\\r"
            + "\\n"
            + "0\\r"
            + "\\n"
            + "\\r"
            + "\\n"
            + " | 200 | abc | true"
      })
  void anAnswerIsWholeAtItsLastByteOnly(String text, int status, String body, boolean lasts)
      throws ProtocolException {
    byte[] all = bytes(text.replace("\\r", "\r").replace("\\n", "\n"));
    RingBuffer ring = new RingBuffer(1 << 16);
    for (int i = 0; i < all.length; i++) {
      assertThat(HttpCodec.readResponse(ring)).as("after %s bytes", i).isNull();
      ring.put(new byte[] {all[i]});
    }
    HttpCodec.Response answer = HttpCodec.readResponse(ring);
    assertThat(answer.status()).isEqualTo(status);
    assertThat(new String(answer.body(), StandardCharsets.UTF_8)).isEqualTo(body);
    assertThat(answer.keepAlive()).isEqualTo(lasts);
    assertThat(ring.size()).isZero();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "FTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 20x OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nnonsense\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "\r\n\r\n"
      })
  void junkIsNoAnswer(String text) {
    assertThatThrownBy(() -> HttpCodec.readResponse(ring(text)))
        .isInstanceOf(ProtocolException.class);
    assertThatThrownBy(() -> HttpCodec.readResponse(ring("x".repeat(9000))))
        .isInstanceOf(ProtocolException.class);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "SELECT day FROM sales_17.orders WHERE tag = '3f9c' | 17",
        "INSERT INTO sales_4.orders SELECT * FROM staging.load_9 | 4",
        "INSERT INTO x SELECT 1 FROM staging.a, crm_12.b | 12",
        "SELECT 'from sales_1.x', $$sales_2.y$$, $t$sales_3.z$t$ FROM sales_5.o | 5",
        "SELECT 'it''s sales_1.x' /* sales_2.y /* sales_3.z */ sales_4.q */ FROM sales_6.o --"
            + " sales_7.p | 6",
        "SELECT E'\\' sales_1.x' FROM \"sales_8\".\"orders\" | 8",
        "SELECT o_3.day FROM sales_9.orders o_3 WHERE o_3.x = 1 | 9",
        "UPDATE ONLY sales_10.orders SET a = 1.5 | 10",
        "COPY sales_11.orders FROM STDIN | 11",
        "SELECT a_2.x, 3.4 FROM orders | 2",
        "SELECT count(*) FROM orders | -1",
        "SELECT 1 FROM staging.orders_4 | -1",
        "SELECT 'open | -1",
        "select x from SALES_13 . orders | 13",
        "SELECT 1 FROM a_b.c | -1",
        "$1 | -1",
        " | -1"
      })
  void theGroupIsInTheSchemasName(String text, long group) throws ProtocolException {
    assertThat(Statement.parse(bytes(text == null ? "" : text)).dataSet()).isEqualTo(group);
  }

  @Test
  void fieldsStandInTheLeadingComment() throws ProtocolException {
    Statement read =
        Statement.parse(
            bytes(" /* class=report, id=9b,wait=1500,odd,=x */ SELECT /* class=no */ 1"));
    assertThat(read.field("class")).isEqualTo("report");
    assertThat(read.field("id")).isEqualTo("9b");
    assertThat(read.field("odd")).isNull();
    assertThat(new String(read.body(), StandardCharsets.UTF_8))
        .isEqualTo("SELECT /* class=no */ 1");
    assertThat(Statement.parse(bytes("SELECT 1")).field("class")).isNull();
    assertThatThrownBy(() -> Statement.parse(bytes("/* class=report")))
        .isInstanceOf(ProtocolException.class);
  }

  /**
   * Guards against a peer whose bytes end the manager: whatever they are, they are read or are
   * junk.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nPage-Count: 2\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n",
        "{\"cursor\":3,\"cmds\":[{\"cursor\":1,\"nodes\":{\"x\":-1.5e3,\"y\":[true,null,"
            + "\"\\u0041\"]}}]}",
        "/* class=a,id=9b */ SELECT 'a''b', $x$ c $x$, E'\\' FROM \"s_1\".t /* /* */ */ , b_2.c --"
            + " e"
      })
  void noBytesBreakAParser(String good) {
    SplittableRandom chance = new SplittableRandom(good.length());
    int junk = 0;
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = bytes(good);
      for (int k = chance.nextInt(4); k >= 0; k--) {
        int at = chance.nextInt(bytes.length);
        bytes[at] =
            chance.nextBoolean() ? (byte) chance.nextInt(256) : bytes[chance.nextInt(bytes.length)];
      }
      byte[] cut = java.util.Arrays.copyOf(bytes, chance.nextInt(bytes.length + 1));
      try {
        Statement.parse(cut).dataSet();
        HttpCodec.readResponse(ring(new String(cut, StandardCharsets.ISO_8859_1)));
        Json.parse(cut);
      } catch (ProtocolException e) {
        junk++;
      }
    }
    assertThat(junk).isBetween(10_000, 20_000);
  }
}
